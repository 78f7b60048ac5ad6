"""Body that is received in parts."""

import io


class BodyBuffer:
    """Collects the parts of a body.

    A single part is not copied. Further ones are appended to one buffer, so
    that many small parts take no more memory than their bytes, and the value
    of that buffer is not copied either.

    Attributes:
        first_part: The first part.
        buffer: All parts, once there are several.
    """

    def __init__(self) -> None:
        self.first_part = b''
        self.buffer: io.BytesIO | None = None

    def append(self, data: bytes) -> None:
        """Append a part."""
        if self.buffer is not None:
            self.buffer.write(data)
        elif not self.first_part:
            self.first_part = data
        else:
            self.buffer = io.BytesIO()
            self.buffer.write(self.first_part)
            self.buffer.write(data)
            self.first_part = b''

    def get_value(self) -> bytes:
        """Return the parts together."""
        if self.buffer is None:
            return self.first_part
        return self.buffer.getvalue()
