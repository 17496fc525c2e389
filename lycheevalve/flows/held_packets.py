"""
Packets that wait until they can be routed, in order of arrival.

`held` is {packet.identify(): (time of the first copy, newest copy)}. `drop(since, packet,
reason, now)` is called for each packet that is given up. Imports nothing, as early_routing.py
uses it.
"""

# A packet of an open flow is held for at most this long: its caller soon retransmits it.
MAX_HOLD_SECONDS = 0.6
# An opening packet is held longer, since its caller gives up only after 1.4 s.
MAX_OPENING_HOLD_SECONDS = 1.2
MAX_HELD_PACKETS = 1024


def hold_packet(held, packet, drop, now):
    """Hold a packet in place of its earlier copies; drop the oldest if there is no room."""
    key = packet.identify()
    since, _ = held.pop(key, (now, None))
    held[key] = (since, packet)
    if len(held) > MAX_HELD_PACKETS:
        drop(*held.pop(next(iter(held))), "no_room", now)


def retry_packets(held, try_handle, drop, now):
    """Retry all packets with `try_handle(packet, now)`; drop those held for too long."""
    retried = list(held.items())
    held.clear()
    for key, (since, packet) in retried:
        limit = MAX_OPENING_HOLD_SECONDS if packet.opens else MAX_HOLD_SECONDS
        if now - since > limit:
            drop(since, packet, "waited", now)
        elif not try_handle(packet, now):
            held[key] = (since, packet)
