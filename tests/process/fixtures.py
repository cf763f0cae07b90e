"""Fixtures of the process tests. Each test class has a site: a platform stand-in, backend servers
and instances, each a process on loopback."""

import os
import shutil
import sys
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tools"))

from oriole_site.http import Caller, put_row
from oriole_site.processes import wait_until
from oriole_site.site import Options, Site

# Timeout of each wait in a test. It bounds the duration of a failing test only.
WAIT_S = 30.0
KEY = "acme-key"


class SiteTest(unittest.TestCase):
    """Starts one site for all tests of the class, in a temporary directory."""

    options = {}

    @classmethod
    def setUpClass(cls):
        cls.work_dir = tempfile.mkdtemp(prefix="oriole-test-")
        build = os.environ.get("ORIOLE_BUILD", os.path.join(ROOT, "build"))
        cls.site = Site(build, cls.work_dir, Options(**cls.options))
        cls.addClassCleanup(cls.site.stop)
        cls.site.start()
        cls.site.apply()
        cls.site.wait_in_force()
        cls.database = cls.site.databases[0]
        cls.site.wait_for_primary(cls.database)
        cls.site.wait_ready()

    @classmethod
    def tearDownClass(cls):
        cls.site.stop()
        shutil.rmtree(cls.work_dir, ignore_errors=True)

    def caller(self, index=0, key=KEY, session=None):
        caller = Caller(self.site.instances[index].caller_port, key, session)
        self.addCleanup(caller.close)
        return caller

    def close_after_test(self, callers):
        for caller in callers:
            self.addCleanup(caller.close)

    def service(self, name):
        return f"{self.database.name}-{name}"

    def assert_answer(self, answer, status, outcome):
        self.assertEqual((answer.status, answer.outcome), (status, outcome), str(answer))

    def write(self, caller, row, value, request_id=None):
        """Retries the write until its outcome is "done". All attempts have the given request id;
        if none is given, each attempt is a separate request."""

        def done():
            answer = caller.run(self.service("write"), put_row(row, value), request_id=request_id)
            return answer.outcome == "done"

        wait_until(done, WAIT_S, f"write of {row}")

    def wait(self, condition, what):
        wait_until(condition, WAIT_S, what)
