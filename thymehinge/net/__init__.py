"""Network side of the gateway: sockets, timers and configuration around the decision module."""
