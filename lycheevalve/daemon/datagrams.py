"""UDP sockets without waiting, from modules written in C only; see early.py."""

from _socket import AF_INET, SO_RCVBUF, SO_SNDBUF, SOCK_DGRAM, SOL_SOCKET, socket

MAX_DATAGRAM_BYTES = 65_535
BATCH_DATAGRAMS = 64
# Holds bursts that arrive between two reads.
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


def open_datagram_socket(address):
    """Return a non-blocking UDP socket bound to (ip, port)."""
    opened = socket(AF_INET, SOCK_DGRAM)
    try:
        opened.setblocking(False)
        for option in (SO_RCVBUF, SO_SNDBUF):
            opened.setsockopt(SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        opened.bind(address)
    except OSError:
        opened.close()
        raise
    return opened


def read_datagrams(source):
    """
    Return (up to a batch of (datagram, sender), number of errors) without waiting.

    The errors are those of earlier datagrams: the port of their receiver is closed.
    """
    batch, errors = [], 0
    while len(batch) < BATCH_DATAGRAMS:
        try:
            batch.append(source.recvfrom(MAX_DATAGRAM_BYTES))
        except BlockingIOError:
            break
        except ConnectionError:
            errors += 1
    return batch, errors
