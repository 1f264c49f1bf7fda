"""Measures how the program's costs grow with fleet size: plans of a size, runs beside hollow processes, and fits."""
