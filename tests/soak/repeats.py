"""Faults in which a server, or a service of the platform, sends an answer a second time."""

MAX_REPEATED_ANSWERS = 1000
# Servers that repeat answers take this long at most for a request, so that a repetition may arrive
# while the next request runs.
MAX_WORK_S = 0.03
MAX_REPLY_SHARE = 0.5
# Ranges of the time between an answer and its repetition.
DELAY_RANGES_S = ((0.0, 0.0), (0.001, 0.01), (0.001, 0.05), (0.1, 1.0))


class Repeats:
    """The kinds of these faults, as do_ methods of Faults. They share its reserved targets."""

    def __init__(self, faults):
        self.faults = faults
        self.site = faults.site
        self.random = faults.random
        servers = [self.server_repeats_answers, self.busy_primary_repeats_answers]
        self.kinds = [*servers, *servers, self.store_repeats_replies,
                      self.promotions_repeat_replies]

    def delay_s(self):
        return self.random.uniform(*self.random.choice(DELAY_RANGES_S))

    def server_repeats_answers(self):
        return self.repeat_answers(self.site.servers, ("", "READY", "DATAROW", "COMPLETE", "ERROR"))

    def busy_primary_repeats_answers(self):
        """The only server that can run writes answers some of them BUSY. A repeated BUSY must not be
        taken for the answer to a write that runs."""
        leader = self.site.platform.database.leader
        return self.repeat_answers([leader] if leader else self.site.servers,
                                   ("ERROR",), self.random.uniform(0.1, 1.0))

    def repeat_answers(self, servers, words, busy_share=0.0):
        """`words` are the first words of the answers that are repeated; empty for all answers."""
        server = self.faults.reserve(servers)
        if server is None:
            return None
        work_s = server.work_s
        server.work_s = self.random.uniform(0.0, MAX_WORK_S)
        server.repeat_delay_s = self.delay_s()
        server.busy_share = busy_share
        server.repeated_word = self.random.choice(words)
        server.repeated_answers = self.random.randint(1, MAX_REPEATED_ANSWERS)

        def end():
            server.busy_share, server.repeated_answers = 0.0, 0
            server.work_s = work_s
            self.faults.release(server)

        return end

    def store_repeats_replies(self):
        return self.repeat_replies(self.site.platform.store)

    def promotions_repeat_replies(self):
        return self.repeat_replies(self.site.platform.promotion_replies)

    def repeat_replies(self, replies):
        if self.faults.reserve([replies]) is None:
            return None
        replies.repeat_delay_s = self.delay_s()
        replies.repeat_share = self.random.uniform(0.0, MAX_REPLY_SHARE)

        def end():
            replies.repeat_share = 0.0
            self.faults.release(replies)

        return end
