"""Brazos Bend: engraved flasks; five pools of 8 instances in four data centres.

Run `python examples/brazos_bend.py | geraniumtrack apply - --operator operator.json`.
"""

from geraniumtrack.fleet import DataCentre, Fleet, Pool, Queue, Team

REGION = "brazos"

# Of 8 instances of a pool, 2 may be unavailable: half of a rack, which holds 4 of them.
MAX_UNAVAILABLE = 2


def fleet() -> Fleet:
    """Returns the declared fleet."""
    return Fleet(
        data_centres=[DataCentre(name=f"dc{n}", region=REGION) for n in (1, 2, 3, 4)],
        pools=[
            Pool(name="proofs", max_unavailable=MAX_UNAVAILABLE),
            Pool(name="mockups", max_unavailable=MAX_UNAVAILABLE),
            Pool(name="retail", max_unavailable=MAX_UNAVAILABLE),
            Pool(name="wholesale", max_unavailable=MAX_UNAVAILABLE),
            Pool(name="back-office", max_unavailable=MAX_UNAVAILABLE, spare=True),
        ],
        queues=[
            # Customers in the shop wait for proofs and mockups.
            Queue(name="proofs", pool="proofs", urgency="urgent", idempotent=True),
            Queue(name="mockups", pool="mockups", urgency="urgent", idempotent=True),
            Queue(name="rasterize", pool="mockups", urgency="long", idempotent=True),
            # Previews are public: anyone may request one in the shop, without a key.
            Queue(name="preview", pool="retail", open=True, idempotent=True),
            Queue(name="retail", pool="retail", idempotent=True),
            # An order must never be produced twice, so each task runs at most once.
            Queue(name="wholesale", pool="wholesale", idempotent=False),
            Queue(name="back-office", pool="back-office", urgency="long", idempotent=True),
        ],
        teams=[
            Team(name="acme", share=6.0, limit=160),
            Team(name="burr-oak", share=4.0, limit=120),
            Team(name="cedar", share=1.0, limit=24),
            Team(name="dogwood", share=1.0, limit=24),
            Team(name="elm", share=0.5, limit=16),
            Team(name="floor", share=0.5, limit=16),
        ],
    )


if __name__ == "__main__":
    print(fleet().to_json())
