"""Settings of the C library's memory allocator."""

import ctypes

# Parameter of mallopt(3). Setting it also disables its automatic growth.
M_MMAP_THRESHOLD = -3

# Larger blocks get a mapping of their own and return to the system at once.
# Otherwise the threshold grows with the first large body that is freed, and
# holes between later bodies take as much memory as the bodies themselves.
MMAP_THRESHOLD_BYTES = 128 * 1024


def limit_fragmentation() -> None:
    """Keep large bodies out of the heap, where the C library allows it."""
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
