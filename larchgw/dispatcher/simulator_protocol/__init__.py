"""The decisions on the simulator's wire: codec, host process, and the check of the settings it gives."""
