"""Settings files: JSON documents with a schema, fully validated before anything starts.

``cluster`` describes the deployment that placers, simulated peers and rule checkers share; ``placer`` adds the settings
of a single placer process; ``reading`` parses a file and reports each error with the path of its key; ``reload`` and
``running`` tell which settings may change while a placer runs.
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
