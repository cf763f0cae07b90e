"""Texts of the simulated callers. Some of them have every byte but the pair CR LF that ends a message,
and are sent in pieces."""

import random
import time

from platform_fixtures import ENCODING, LINE_END

# Parts that a reader might take for the end of a message or for a message of its own.
SUSPICIOUS_PARTS = (
    "\n", "\r", "\0", " ", "\r\r", "\n\r", "\nTERMINATE", "\nCOMPLETE -", "\nDATAROW w0-999999",
    "\nQUERY {id} WRITE item0 w0-999999", "\rQUERY {id} READ item0", "\nCONNECT newest kita-key",
    "\nCOMPLETE signed-i-0-{id}\nREADY I 9.9", "\nERROR BUSY i-0\nREADY I 1.1")
# First byte after the number of a write.
SEPARATORS = "\n\r\0 -\x7f\x80\xff"
MAX_PARTS = 6
MAX_PART_BYTES = 20
LONG_SHARE = 0.03
LONG_BYTES = (10_000, 60_000)
BURST_SHARE = 0.05
SPLIT_SHARE = 0.4
MAX_PIECES = 4
MAX_PIECE_PAUSE_S = 0.004


class PlainTexts:
    """Texts of letters and digits, each sent in one piece."""

    def suffix(self):
        """Added to the last field of a text."""
        return ""

    def word_suffix(self):
        """Added to a field that is not the last one. The same for each call."""
        return ""

    def wants_burst(self):
        """Whether the next operation is to be several requests in one piece."""
        return False

    def send(self, session, lines):
        session.socket.sendall(encode(lines))


class EveryByteTexts(PlainTexts):
    def __init__(self, seed, number):
        """Two objects with the same arguments give the same word_suffix()."""
        self.random = random.Random(f"texts {seed} {number}")
        self._word_suffix = "~" + self.arbitrary_text().replace(" ", "\xa0")[:MAX_PART_BYTES]

    def suffix(self):
        text = self.random.choice(SEPARATORS) + self.arbitrary_text()
        if self.random.random() < LONG_SHARE:
            text += self.random.randbytes(self.random.randint(*LONG_BYTES)).decode(ENCODING)
        text += self.random.choice(("", "", "\r", "\n", " "))
        return without_line_end(text)

    def word_suffix(self):
        return self._word_suffix

    def wants_burst(self):
        return self.random.random() < BURST_SHARE

    def arbitrary_text(self):
        parts = [self.part() for _ in range(self.random.randint(1, MAX_PARTS))]
        return without_line_end("".join(parts))

    def part(self):
        if self.random.random() < 0.5:
            size = self.random.randint(1, MAX_PART_BYTES)
            return self.random.randbytes(size).decode(ENCODING)
        # No caller sends a request with this id.
        request = f"f{self.random.getrandbits(60):015x}"
        return self.random.choice(SUSPICIOUS_PARTS).format(id=request)

    def send(self, session, lines):
        data = encode(lines)
        pieces = self.random.randint(2, MAX_PIECES) if self.random.random() < SPLIT_SHARE else 1
        # The last cut may be between the CR and the LF.
        cuts = sorted(self.random.choice((self.random.randint(1, len(data) - 1), len(data) - 1))
                      for _ in range(pieces - 1))
        for begin, end in zip([0] + cuts, cuts + [len(data)]):
            session.socket.sendall(data[begin:end])
            if end < len(data):
                time.sleep(self.random.uniform(0, MAX_PIECE_PAUSE_S))


def encode(lines):
    return b"".join(line.encode(ENCODING) + LINE_END for line in lines)


def without_line_end(text):
    return text.replace("\r\n", "\r-")


def texts_of(seed, number):
    """The texts of a caller. Every third caller sends every byte."""
    return EveryByteTexts(seed, number) if number % 3 == 2 else PlainTexts()


def item_of(seed, number):
    """The item that this caller writes."""
    return f"item{number}{texts_of(seed, number).word_suffix()}"
