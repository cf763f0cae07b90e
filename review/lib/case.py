"""Runs a case: its record, its exit status, and the folder for the files of the processes."""

import os
import tempfile
import traceback

from small_site import Recorder

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
SHOWN_LINES = 20

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, plays):
    """Runs each of `plays`, functions of a recorder and a folder for files that return the broken
    rules and the number of requests or transactions that were served. Returns the exit status."""
    recorder = Recorder(os.path.join(folder, "record.txt"))
    broken, served = [], 0
    try:
        for number, play in enumerate(plays):
            recorder.write(f"play {number + 1} of {len(plays)}, trouble={TROUBLE}")
            with tempfile.TemporaryDirectory(prefix="oriole-review-") as work_dir:
                found, count = play(recorder, work_dir)
            broken += found
            served += count
    except Exception as failure:
        traceback.print_exc()
        recorder.write(f"could not run: {failure!r}")
        return COULD_NOT_RUN
    if served == 0:
        recorder.write("could not run: nothing was served")
        return COULD_NOT_RUN
    result = f"{len(broken)} broken, {served} served"
    for line in broken:
        recorder.write(f"broken {line}")
    recorder.write(f"result: {result}")
    print("\n".join(broken[:SHOWN_LINES] + [result]))
    return BROKEN if broken else HELD
