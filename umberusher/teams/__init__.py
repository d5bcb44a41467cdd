"""Teams and contracts: who asks, what a team was promised, what it may borrow, and what it used. No I/O."""
