"""After a drill of the store, a server that has left is in use again.

One of eight instances has read the store earlier, while a reader was stopped and
started. A server leaves, others join. In the drill the readers lose the store for
half a second, and that instance reads again. The server that left is neither in
the store nor in the copy, but all instances use it from then on.
"""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "testbed"))
import testbed as tb  # noqa: E402

INSTANCES = 8
DRAIN_S = 2.0
STABLE_S = 3.0
AWAY_S = 0.5
SERVES_ON_S = 20.0
REQUESTS_EACH = 10
HOST = "gallery.example"


def work(server, sock, reader, body_bytes, request):
    reader.take(body_bytes)
    time.sleep(0.03)
    return b"answer to " + request.encode()


def ask(bed, instance, number):
    for count in range(REQUESTS_EACH):
        request = f"view-{number}-{count}"
        text = tb.request_text("GET", "/archive/1", HOST, request, 3000)
        bed.record.write(f"client: {request} sent to {instance.ip}")
        try:
            status, _, _ = tb.exchange(
                instance.ip, tb.INSTANCE_PORTS["front"], text, 4)
            bed.record.write(f"client: {request} to {instance.ip} answered "
                             f"{status}")
        except (EOFError, OSError) as error:
            bed.record.write(f"client: {request} to {instance.ip} not "
                             f"answered: {error!r}")
        time.sleep(0.1)


def restart_one_reader(bed):
    """Stop and start a reader; return whether another one has stood in."""
    readers = bed.store.callers(2.5)
    others = [instance.ip for instance in bed.instances
              if instance.ip not in readers]
    reader = next(instance for instance in bed.instances
                  if instance.ip in readers)
    since = time.monotonic()
    reader.signal(signal.SIGTERM)
    reader.process.wait(10)
    time.sleep(1)
    reader.start()
    time.sleep(6)
    bed.wait_ready()
    return any(bed.store.calls.get(ip, 0) > since for ip in others)


def drill(bed, copy, servers, configuration):
    bed.store.leave(busy=True)
    time.sleep(AWAY_S)
    bed.store.restore(copy)
    back = time.monotonic()
    time.sleep(0.7)
    for server in servers:
        server.register()
    bed.store.put("op/config", configuration)
    return back


def case(record):
    with tb.Testbed(record) as bed:
        for number in range(INSTANCES):
            bed.add_instance(10 + number, "zone-a")
        archive = [tb.Server(bed, f"i-{number}", "archive", 50 + number,
                             "zone-a", work) for number in range(4)]
        plots = [tb.Server(bed, f"j-{number}", "plots", 60 + number, "zone-a",
                           work) for number in range(2)]
        configuration = tb.configuration(
            "r7", HOST, ["archive", "plots"],
            [tb.route("archive", "/archive/", "safe", "archive", "4s", "1s"),
             tb.route("plots", "/plots/", "safe", "plots", "4s", "1s")])
        leaver, joiner = archive[0], archive[3]
        for server in [*archive[:3], plots[0]]:
            server.register()
        bed.store.put("op/config", configuration)
        for instance in bed.instances:
            instance.start()
        bed.wait_ready()
        time.sleep(6)
        if not restart_one_reader(bed):
            raise RuntimeError("no other instance has read the store")
        time.sleep(1)
        left = leaver.unregister()
        time.sleep(1)
        joiner.register()
        time.sleep(0.5)
        plots[1].register()
        time.sleep(0.5)
        copy = bed.store.copy()
        time.sleep(1.5)
        back = time.monotonic()
        if tb.trouble():
            back = drill(bed, copy, [*archive[1:], *plots], configuration)
        in_touch = back + STABLE_S + 0.5
        time.sleep(max(0.0, in_touch - time.monotonic()))
        threads = [tb.start_thread(ask, bed, instance, number)
                   for number, instance in enumerate(bed.instances)]
        for thread in threads:
            thread.join()
        late = [run for run in leaver.runs
                if in_touch <= run[0] <= left + SERVES_ON_S
                and run[0] > left + DRAIN_S]
        for when, request, ip in late:
            bed.record.write(f"check: {request} reached {leaver.id} from {ip} "
                             f"{when - left:.1f} s after it had left")
        bed.summarize(f"{len(late)} requests from "
                      f"{len({ip for _, _, ip in late})} of {INSTANCES} machines "
                      f"reached the server that had left")
        return bed.result(tb.BROKEN if late else tb.HELD)


tb.run(case, sys.argv)
