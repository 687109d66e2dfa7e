"""An integer hash that gives the same values in every process."""

MASK = (1 << 64) - 1


def mix(value: int) -> int:
    """Hashes an integer to 64 bits."""
    value = (value ^ value >> 30) * 0xBF58476D1CE4E5B9 & MASK
    value = (value ^ value >> 27) * 0x94D049BB133111EB & MASK
    return value ^ value >> 31
