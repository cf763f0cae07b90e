"""Changes of primary, configuration and zones while the store and the promotion API send each reply
twice. Calls of different kinds then follow each other, so that a client that takes a repetition
for the reply to its next call does something that it must not do."""

from faults import Faults
from repeats import DELAY_RANGES_S

# The time that a call to the store takes, as across availability zones, so that a repetition may
# arrive while the next call runs.
STORE_DELAY_S = 0.03


class RepeatedReplies(Faults):
    """As Faults, with replies_ methods."""

    prefix = "replies_"

    replies_configuration_change = Faults.do_configuration_change
    replies_key_withdrawn = Faults.do_key_withdrawn
    replies_zone_out = Faults.do_zone_out

    def __init__(self, site, random, *options):
        super().__init__(site, random, *options)
        site.platform.store.reply_delay_s = STORE_DELAY_S
        for replies in self.interfaces():
            replies.repeat_share = 1.0

    def interfaces(self):
        return self.site.platform.store, self.site.platform.promotion_replies

    def replies_primary_lost(self):
        leader = self.site.platform.database.leader
        return self.crash_server([leader]) if leader else None

    def replies_arrive_after_another_delay(self):
        delay_s = self.random.uniform(*self.random.choice(DELAY_RANGES_S))
        for replies in self.interfaces():
            replies.repeat_delay_s = delay_s
        return lambda: None
