"""What the fleet may spend, who holds which part of it until when. Pure: no I/O, no clock."""
