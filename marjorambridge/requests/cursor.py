"""Cut chunks so that each token of an answer is forwarded exactly once, in order."""

from marjorambridge.requests.events import AttemptChunk


def trim_chunk(chunk: AttemptChunk, cursor: int) -> tuple[int, bytes] | None:
    """Return the count and content of a chunk's new part, or None if tokens are missing.

    Parameters
    ----------
    cursor : int
        Index of the next token that the caller needs; bytes for plain services.

    Returns
    -------
    tuple of int and bytes, or None
        ``(0, b"")`` if the chunk has no new content. None if there is a gap before the chunk, or
        if the chunk has to be cut and does not state where its tokens end.

    Examples
    --------
    >>> trim_chunk(AttemptChunk(0.0, None, 3, 2, b"abcd", (1, 4)), 4)
    (1, b'bcd')
    """
    overlap = cursor - chunk.index
    if overlap < 0 or chunk.count < 0:
        return None
    if chunk.count == 0:
        return (0, b"") if not chunk.data else None
    if overlap >= chunk.count:
        return 0, b""
    if overlap == 0:
        return chunk.count, chunk.data
    if chunk.token_ends:
        ends = chunk.token_ends
        if len(ends) != chunk.count or ends[-1] != len(chunk.data):
            return None
        return chunk.count - overlap, chunk.data[ends[overlap - 1] :]
    if chunk.count != len(chunk.data):
        return None
    return chunk.count - overlap, chunk.data[overlap:]
