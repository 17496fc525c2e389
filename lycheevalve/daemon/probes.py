"""
Probes of control replicas by UDP, see flows/reachability.py, and requests for checks of
upstreams, see coordination/upstream_checks.py.

A probe is a lookup that asks for nothing, which replicas of earlier versions answer too.
"""

import os

from lycheevalve.daemon.datagrams import open_datagram_socket
from lycheevalve.daemon.udp_socket import UdpSocket
from lycheevalve.logs.queue import record
from lycheevalve.schema.lookups import (
    NONCE,
    Lookup,
    decode_answer,
    derive_key,
    encode_check,
    encode_lookup,
)
from lycheevalve.utils.addresses import format_address, parse_address

# Probes whose answers may still arrive.
MAX_PENDING_PROBES = 64


class ProbeSocket:
    """The UDP socket for probes; the owner reads the answers when it waits for some."""

    def __init__(self, address, key, data_centre):
        self.socket = UdpSocket(open_datagram_socket(parse_address(address)))
        self.key = derive_key(key.encode())
        self.data_centre = data_centre
        # The addresses of probed replicas by nonce.
        self.pending = {}
        self.malformed = 0

    def send(self, address):
        """Send a probe to the control replica at an address."""
        # A nonce is never used twice, so that no recorded answer is accepted.
        (nonce,) = NONCE.unpack(os.urandom(NONCE.size))
        self.pending[nonce] = parse_address(address)
        if len(self.pending) > MAX_PENDING_PROBES:
            del self.pending[next(iter(self.pending))]
        self.socket.send(
            encode_lookup(self.key, Lookup(nonce, self.data_centre)), self.pending[nonce]
        )

    def request_check(self, address, cookie):
        """Ask the control replica at an address to check the upstream of a cookie."""
        self.socket.send(encode_check(self.key, cookie), parse_address(address))

    def find_answered(self, batch):
        """Return the addresses of the replicas that answered; count invalid datagrams."""
        answered = []
        for data, source in batch:
            try:
                answer = decode_answer(self.key, data)
            except ValueError:
                self.malformed += 1
                continue
            if self.pending.pop(answer.nonce, None) == source:
                answered.append(format_address(source))
        return answered

    def read_answers(self):
        """Return the addresses of the replicas whose answers have arrived."""
        answered = []
        while batch := self.socket.read_batch():
            answered += self.find_answered(batch)
        return answered


def open_probe_socket(address, key, data_centre):
    """Return a ProbeSocket, or None if the address is in use: the instance works without."""
    try:
        return ProbeSocket(address, key, data_centre)
    except OSError as error:
        record("probes_unavailable", address=address, reason=str(error))
        return None
