"""Small stand-ins for what surrounds the instances: fabric, upstreams, callers."""
