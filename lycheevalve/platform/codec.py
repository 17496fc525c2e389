"""The codec with which an entry instance reads and builds the platform's packets."""

import functools

from lycheevalve.platform import packets
from lycheevalve.platform.documents import read_routes
from lycheevalve.utils.addresses import parse_address


class Codec:
    """The codec of one entry instance; resets are sent to the fabric's port."""

    read_packet = staticmethod(packets.read_packet)
    build_forward = staticmethod(packets.build_forward)
    describe_flow = staticmethod(packets.describe_flow)
    read_routes = staticmethod(read_routes)

    def __init__(self, settings):
        port = parse_address(settings.packets)[1]
        self.build_reset = functools.partial(packets.build_reset, port=port)
