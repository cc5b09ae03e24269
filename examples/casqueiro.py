"""Casqueiro: prices of coconut husk lots; five pools of 8 instances in four data centres.

Run `python examples/casqueiro.py | geraniumtrack apply - --operator operator.json`.
"""

from geraniumtrack.fleet import DataCentre, Fleet, Pool, Queue, Team

REGION = "santos"
POOLS = ("pricing", "settlement", "warehouse-intake", "freight-customs", "admin-desk")
SPARE = "admin-desk"


def fleet() -> Fleet:
    """Returns the declared fleet."""
    return Fleet(
        data_centres=[DataCentre(name=f"dc{n}", region=REGION) for n in (1, 2, 3, 4)],
        pools=[Pool(name=name, max_unavailable=2, spare=name == SPARE) for name in POOLS],
        queues=[
            # A quote that arrives too late loses the sale of a lot.
            Queue(name="quotes", pool="pricing", urgency="urgent", idempotent=True),
            # A duplicate settlement or booking costs money, so each runs at most once.
            Queue(name="settlements", pool="settlement", max_length=5000),
            Queue(name="intake", pool="warehouse-intake", idempotent=True),
            Queue(name="bookings", pool="freight-customs"),
            Queue(name="customs", pool="freight-customs", urgency="long", idempotent=True),
            Queue(name="admin", pool="admin-desk", urgency="long", idempotent=True),
        ],
        teams=[
            Team(name="atlantic", share=6.0, limit=160),
            Team(name="baixada", share=4.0, limit=120),
            Team(name="cubatao", share=2.0, limit=48),
            Team(name="dende", share=1.0, limit=24),
            Team(name="embare", share=1.0, limit=24),
            Team(name="fibra", share=0.5, limit=16),
        ],
    )


if __name__ == "__main__":
    print(fleet().to_json())
