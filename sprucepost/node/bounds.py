"""What both codecs share."""

MOST = 16 * 1024  # bytes of one message, its length or line feed included


class Malformed(Exception):
    """What came is no message; nothing that follows on that connection can be read."""
