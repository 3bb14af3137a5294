"""Checks the heads of responses before the parser of the HTTP library reads them.

The parser is lenient with responses, and what it returns no longer shows all of a head:
a blank before the first name is gone, for example. So the bytes are checked. A head is
valid by RFC 9112, sections 2.2, 4, 5 and 6, and RFC 9110, sections 5 and 15; folded
lines and lines that end with LF alone are accepted, as the former allows recipients.
"""

from __future__ import annotations

import re

import aiohttp

SWITCHING_PROTOCOLS = 101
"""Never valid here: no request asks for an upgrade."""

MAX_LOGGED_BYTES = 60
"""Bytes of an invalid line that its error names."""

_END = re.compile(rb"\n\r?\n")
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] ([1-5][0-9][0-9])(?: %s)?" % _TEXT)
_FIELD_LINE = re.compile(rb"([!#$%%&'*+\-.^_`|~0-9A-Za-z]+):(%s)" % _TEXT)
_FOLDED_LINE = re.compile(rb"[\t ]%s" % _TEXT)
_FRAMING_VALUES = {
    b"content-length": re.compile(rb"[\t ]*[0-9]+[\t ]*"),
    # The parser takes a tab at the end for a part of the coding.
    b"transfer-encoding": re.compile(rb"[\t ]*(?i:chunked) *"),
}
"""Values of the fields that frame a body: a head has one of them, in one line. No
request accepts another coding than chunked."""


class InvalidHeadError(aiohttp.ClientError):
    """The upstream sent a head that is not valid, so it sent no response.

    No error of the connection: a crashed upstream sends nothing.
    """


class HeadChecker:
    """Checks the heads of the response to one request: interim ones and the final."""

    def __init__(self) -> None:
        self._unchecked = bytearray()
        self.is_done = False
        """Whether the final head is complete."""

    def feed(self, data: bytes) -> None:
        """Check the heads that ``data`` completes, up to the final one.

        Raises :class:`InvalidHeadError` for an invalid one.
        """
        # The end of a head may have begun in the data before.
        start = max(0, len(self._unchecked) - 2)
        self._unchecked += data
        while not self.is_done:
            end = _END.search(self._unchecked, start)
            if end is None:
                return
            status = _check_head(bytes(self._unchecked[: end.start()]))
            del self._unchecked[: end.end()]
            start = 0
            self.is_done = status >= 200
        self._unchecked.clear()


def _check_head(head: bytes) -> int:
    """Return the status of a head, given without its last line end and empty line.

    Raises :class:`InvalidHeadError` if it is not valid.
    """
    status_line, *lines = [line.removesuffix(b"\r") for line in head.split(b"\n")]
    status = _read_status(status_line)
    name = b""
    framing_lines = 0
    for line in lines:
        if name and line.startswith((b" ", b"\t")):
            _match(_FOLDED_LINE, "folded line", line)
        else:
            field = _match(_FIELD_LINE, "field", line)
            name = field[1].lower()
            if name in _FRAMING_VALUES:
                _match(_FRAMING_VALUES[name], "framing", field[2])
        if name in _FRAMING_VALUES:
            # Also a folded line of such a field: parsers differ in reading it.
            framing_lines += 1
        if framing_lines > 1:
            raise _build_error("second framing", line)
    return status


def _read_status(line: bytes) -> int:
    status = int(_match(_STATUS_LINE, "status line", line)[1])
    if status == SWITCHING_PROTOCOLS:
        raise _build_error("status line", line)
    return status


def _match(pattern: re.Pattern[bytes], part: str, line: bytes) -> re.Match[bytes]:
    match = pattern.fullmatch(line)
    if match is None:
        raise _build_error(part, line)
    return match


def _build_error(part: str, line: bytes) -> InvalidHeadError:
    return InvalidHeadError(f"invalid {part}: {line[:MAX_LOGGED_BYTES]!r}")
