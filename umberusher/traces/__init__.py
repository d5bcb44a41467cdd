"""Published cluster traces: layouts, reading with defects, mappings, plans, figures. No sockets, nothing of the broker."""
