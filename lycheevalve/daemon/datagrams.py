"""UDP sockets without waiting, from modules written in C only; see early.py."""

from _socket import AF_INET, SO_RCVBUF, SO_SNDBUF, SOCK_DGRAM, SOL_SOCKET, socket

MAX_DATAGRAM_BYTES = 65_535
# Batches wait in queues, so that their number of bytes is limited too.
BATCH_DATAGRAMS = 64
BATCH_BYTES = 256 * 1024
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

    The errors are those of earlier datagrams, whose receiver can't be reached, and those of a
    system without memory. Each counts as one of the batch, as they may not end.
    """
    batch, errors, size = [], 0, 0
    while len(batch) + errors < BATCH_DATAGRAMS and size < BATCH_BYTES:
        try:
            received = source.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            break
        except OSError:
            errors += 1
        else:
            batch.append(received)
            size += len(received[0])
    return batch, errors
