"""Contracts of teams: identity, admission, budgets, lending, retry budgets, statements. No I/O."""
