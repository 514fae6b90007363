"""A planned stop cuts requests that their server still works on.

The grace time is the 10 s of the large deployment. Requests whose server needs
7 s are sent 0.3 s before the SIGTERM, so they end 6.7 s after it, well before
the last sixth of the grace time.
"""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "testbed"))
import testbed as tb  # noqa: E402

BOUNDS = {"stabilityWindow": "4000ms", "drain": "3000ms", "grace": "10s",
          "ack": "5000ms", "catchUp": "6s", "config": "3000ms",
          "maxSkew": "6000ms", "budgetSlack": 630}
GRACE_S = 10.0
WORK_S = 7.0
DEADLINE_MS = 12000
REQUESTS = 8
HOST = "gallery.example"


def work(server, sock, reader, body_bytes, request):
    reader.take(body_bytes)
    time.sleep(WORK_S)
    return b"answer to " + request.encode()


def send(bed, instance, number, answers):
    unsafe = number % 2 == 0
    request = f"request-{number}"
    body = b"x" * 100 if unsafe else b""
    text = tb.request_text("POST" if unsafe else "GET",
                           "/plots/1" if unsafe else "/archive/1", HOST,
                           request, DEADLINE_MS, len(body))
    bed.record.write(f"client: {request} sent to {instance.ip}")
    try:
        status, fields, _ = tb.exchange(instance.ip, tb.INSTANCE_PORTS["front"],
                                        text, DEADLINE_MS / 1000, body)
        signed = "nutmegcrank-upstream-signature" in fields
        answers[request] = (status, signed)
        bed.record.write(f"client: {request} answered {status}, "
                         f"{'with' if signed else 'without'} a signature")
    except (EOFError, OSError) as error:
        answers[request] = (0, False)
        bed.record.write(f"client: {request} not answered: {error!r}")


def case(record):
    with tb.Testbed(record, BOUNDS) as bed:
        instance = bed.add_instance(10, "zone-a")
        for number in range(2):
            tb.Server(bed, f"i-{number}", "gallery", 30 + number, "zone-a",
                      work).register()
        bed.store.put("op/config", tb.configuration(
            "r7", HOST, ["gallery"],
            [tb.route("archive", "/archive/", "safe", "gallery", "12s", "3s"),
             tb.route("plots", "/plots/", "unsafe", "gallery", "12s", "3s")]))
        instance.start()
        bed.wait_ready()
        time.sleep(4.5)
        answers = {}
        threads = [tb.start_thread(send, bed, instance, number, answers)
                   for number in range(REQUESTS)]
        time.sleep(0.3)
        if tb.trouble():
            instance.signal(signal.SIGTERM)
        stop_due = time.monotonic() + GRACE_S
        for thread in threads:
            thread.join(max(0.0, stop_due - time.monotonic()))
        cut = [request for request, answer in answers.items()
               if answer != (200, True)]
        bed.summarize(f"{REQUESTS} requests, "
                      f"{len(cut)} cut while their server worked")
        return bed.result(tb.BROKEN if cut else tb.HELD)


tb.run(case, sys.argv)
