"""Guards against a table group that is read from a comment, a string, an alias or a staging table."""

from __future__ import annotations

import pytest

from umberusher.protocol.statement import StatementError, table_group


@pytest.mark.parametrize(
    "sql, group",
    [
        ("SELECT o.a_3 FROM sales_17.orders o JOIN sales_17.lines l ON o.id = l.id", 17),
        ("select t_1.a from staging.load_3, park_4.sites t_1", 4),
        ("INSERT INTO park_5.sites SELECT * FROM staging.x_9", 5),
        ('select \'from a_1.b\', "c" -- from d_2.e\n /* from f_3.g */ from "park_6"."sites"', 6),
        ("select $q$ from a_1.b $q$, 'it''s from c_2.d', E'\\' from c_3.d' from park_7 . sites", 7),
        ("select count(*) from (select 1 from park_8.a) x", 8),
        ("select 1", None),
        ("select * from staging.orders", None),
    ],
)
def test_table_group_finds_the_group_that_a_statement_names(sql, group):
    assert table_group(sql.encode()) == group


NOT_CLOSED = "a string, comment or name is not closed"


@pytest.mark.parametrize(
    ("sql", "reason"),
    [
        (b"select 'open from a_1.b", NOT_CLOSED),
        (b"/* open", NOT_CLOSED),
        (b'select "open', NOT_CLOSED),
        (b"\xff\xfe", "not text"),
    ],
)
def test_table_group_raises_when_text_is_malformed(sql, reason):
    with pytest.raises(StatementError) as raised:
        table_group(sql)
    assert raised.value.reason == reason
