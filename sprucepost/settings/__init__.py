"""Settings files: JSON with a schema, checked whole before anything starts.

``cluster`` describes the deployment that placers, stand-ins and rule checkers share; ``placer`` adds what one daemon has
of its own; ``reading`` reads a file and names every fault by its key's path.
"""

from sprucepost.settings.cluster import Cluster, TaskClass
from sprucepost.settings.placer import ConfigurationOptions, GenerationOptions, PeerOptions, PlacerFile, PlacerOptions
from sprucepost.settings.reading import SettingsError, read, schema

__all__ = [
    "Cluster",
    "ConfigurationOptions",
    "GenerationOptions",
    "PeerOptions",
    "PlacerFile",
    "PlacerOptions",
    "SettingsError",
    "TaskClass",
    "read",
    "schema",
]
