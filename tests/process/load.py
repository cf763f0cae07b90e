"""Load generator: threads that send requests and record the answers."""

import http.client
import itertools
import threading
import time

from oriole_site.http import Caller, fetch_status


class Balancer:
    """Round robin over the instances whose /readyz reports ready, like a load balancer."""

    def __init__(self, instances):
        self._instances = instances
        self._turns = itertools.count()

    def choose(self):
        """A ready instance; None while there is none."""
        first = next(self._turns)
        for offset in range(len(self._instances)):
            instance = self._instances[(first + offset) % len(self._instances)]
            try:
                if fetch_status(instance.admin_port, "/readyz") == 200:
                    return instance
            except (OSError, http.client.HTTPException):
                continue  # the instance has stopped and not started again yet
        return None


class BalancedCaller:
    """Keeps its connection until the instance closes it, then connects to another instance that
    the balancer chooses."""

    def __init__(self, balancer, key):
        self._balancer = balancer
        self._key = key
        self._caller = None
        self._session = None

    def run(self, service, *statements, request_id=None):
        """Sends one request. If the connection is refused, the request was not sent: tries another
        instance."""
        while True:
            caller = self._connect()
            try:
                answer = caller.run(service, *statements, request_id=request_id)
            except ConnectionRefusedError:
                self._caller = None
                continue
            self._session = caller.session
            if answer.closes:
                self.close()
            return answer

    def close(self):
        if self._caller:
            self._caller.close()
            self._caller = None

    def _connect(self):
        while not self._caller:
            instance = self._balancer.choose()
            if instance:
                self._caller = Caller(instance.caller_port, self._key, self._session)
            else:
                time.sleep(0.01)
        return self._caller


class Sample:
    """One request: the times just before sending and just after its answer, and the answer or the
    error."""

    def __init__(self, sent, answered, answer, error=None):
        self.sent = sent
        self.answered = answered
        self.answer = answer
        self.error = error

    @property
    def done(self):
        return self.answer is not None and self.answer.outcome == "done"

    def __str__(self):
        return repr(self.error) if self.error else str(self.answer)


class Load:
    """Threads that send requests from entering the context manager until leaving it."""

    def __init__(self, send, threads, pause_s=0.0):
        """`send(thread, number)` sends one request and returns its answer. Its OSError and
        HTTPException are recorded as the sample's error."""
        self._send = send
        self._pause_s = pause_s
        self._stop = threading.Event()
        self._samples = [[] for _ in range(threads)]
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True) for n in range(threads)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def samples(self):
        return [sample for samples in self._samples for sample in list(samples)]

    def done_count(self):
        return sum(sample.done for sample in self.samples())

    def _run(self, thread):
        number = 0
        while not self._stop.is_set():
            number += 1
            self._samples[thread].append(self._sample(thread, number))
            if self._pause_s:
                self._stop.wait(self._pause_s)

    def _sample(self, thread, number):
        sent = time.monotonic()
        try:
            answer = self._send(thread, number)
        except (OSError, http.client.HTTPException) as error:
            return Sample(sent, time.monotonic(), None, error)
        return Sample(sent, time.monotonic(), answer)
