"""Link of an agent with an entry."""

from collections import deque

from comfreysill.exchange.messages import Ended
from comfreysill.zones.closures import ToldZones


class EntryLink:
    """Link of an agent with an entry; a session is one connection of it.

    Attributes:
        entry: Name of the entry, `instance@lifetime`.
        open_session: Number of the open session, 0 while none is open.
        newest_session: Highest session number received, 0 before the first.
        newest_frame: Number of the newest frame received in the newest session, 0 before the first.
        lease_until: End of the link lease in boot-clock seconds; the entry's runs are stopped then.
        demand_rank: Rank of the most urgent task that the entry can't place, 0 if there is none.
        notified_at: Boot-clock time in seconds of the last early notification, 0 before the first.
        accepting_sent: Value of `accepting` in the last frame sent.
        ended: Ended attempts that the entry hasn't acknowledged.
        end_sent: Sequence number of the newest end sent in the newest session, 0 before the first.
        opening_sent: True once the first frame of the newest session has been sent.
        profile_sent: Version of the profile sent in the newest session, -1 if none was sent.
        crash_sent: Number of the newest crash sent in the newest session, 0 before the first.
        unfinal_start_sent: Number of the newest unfinal start sent in the newest session, 0 before
            the first.
        sent_at: Boot-clock time in seconds of the last frame sent, 0 before the first.
        address: Address of the entry, empty until a frame names it.
        told_zones: What it knows of zones from the newest session.
    """

    __slots__ = (
        "entry",
        "open_session",
        "newest_session",
        "newest_frame",
        "lease_until",
        "demand_rank",
        "notified_at",
        "accepting_sent",
        "ended",
        "end_sent",
        "opening_sent",
        "profile_sent",
        "crash_sent",
        "unfinal_start_sent",
        "sent_at",
        "address",
        "told_zones",
    )

    def __init__(self, *, entry: str) -> None:
        self.entry = entry
        self.open_session = 0
        self.newest_session = 0
        self.newest_frame = 0
        self.lease_until = 0.0
        self.demand_rank = 0
        self.notified_at = 0.0
        self.accepting_sent = False
        self.ended: deque[Ended] = deque()
        self.end_sent = 0
        self.opening_sent = False
        self.profile_sent = -1
        self.crash_sent = 0
        self.unfinal_start_sent = 0
        self.sent_at = 0.0
        self.address = ""
        self.told_zones = ToldZones()
