"""How the program's costs grow with the size of a fleet: a plan of that size, runs beside hollow processes, fits."""
