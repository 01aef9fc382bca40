/**
 * Stand-in of an executor, as PROTOCOL.md describes one: fence numbers, leases on its own clock,
 * run numbers, and ends that it lists until they are acknowledged.
 */
import { NO_ANSWER, serveJson } from "./server.mjs";

const LEASE_CHECK_MS = 20;
const MAX_LISTED_ENDS = 500;
/** A work item that lasts is at work after this time. */
const STARTUP_MS = 300;

export class Worker {
  running = new Map();
  highestEnded = new Map();
  ends = [];
  nextEnd = 1;
  fence = 0;
  leaseUntilMs = 0;
  sequence = 0;
  draining = false;
  down = false;
  waiting = new Set();
  /** Rate of its steady clock, which may be up to 2% slow. */
  clockRate = 1;
  /** Whether a run of an item that lasts ends by itself, if its text says when. */
  endsByItself = () => false;
  /** If set, receives path, body and `carryOut`, and returns the reply to an order. */
  fault = null;

  /**
   * @param options - `id`, `machine`, `pool`, `zone`, `rack`, `capacity`, `stopTakesMs` (how long a
   *   stop takes), `holdMaxMs`, and `observe`, which hears of orders and runs.
   */
  constructor(options) {
    Object.assign(this, options);
    this.born = Date.now();
    this.clockStartMs = performance.now();
    this.timer = setInterval(() => {
      this.expire();
    }, LEASE_CHECK_MS);
  }

  async listen() {
    this.server = await serveJson((method, url, body, headers) =>
      this.fault === null
        ? this.carryOut(url.pathname, body, headers)
        : this.fault(url.pathname, body, () => this.carryOut(url.pathname, body, headers)),
    );
  }

  close() {
    clearInterval(this.timer);
    this.running.forEach(({ timer }) => {
      clearTimeout(timer);
    });
    this.server.close();
  }

  /** Crashes, and starts again under its id: it then holds and knows nothing of before. */
  restart(downMs) {
    this.down = true;
    for (const task of [...this.running.keys()]) {
      this.end(task, "crashed");
    }
    this.server.dropConnections();
    setTimeout(() => {
      this.born = Date.now();
      this.clockStartMs = performance.now();
      this.fence = 0;
      this.leaseUntilMs = 0;
      this.sequence = 0;
      this.ends = [];
      this.nextEnd = 1;
      this.highestEnded.clear();
      this.down = false;
    }, downMs);
  }

  clockMs() {
    return Math.round((performance.now() - this.clockStartMs) * this.clockRate);
  }

  /** Returns its entry in the store. */
  entry() {
    this.sequence += 1;
    return {
      service: this.pool,
      address: this.server.address,
      zone: this.zone,
      version: "v1",
      slots: 8,
      state: this.draining ? "draining" : "ready",
      ...(this.draining ? { drainRemainingMs: 2_000 } : {}),
      coldRemainingMs: 0,
      capacity: this.capacity,
      labels: ["a", this.rack],
      clockMs: this.clockMs(),
      sequence: this.sequence,
      machine: this.machine,
      born: this.born,
    };
  }

  carryOut(path, body, headers) {
    if (this.down) {
      return NO_ANSWER;
    }
    if (headers["expected-instance"] !== this.id) {
      return { status: 421 };
    }
    if ((body.fencingToken ?? 0) < this.fence) {
      return this.refuse("fence");
    }
    this.fence = body.fencingToken ?? 0;
    switch (path) {
      case "/api/run-start":
        return this.start(body);
      case "/api/run-stop":
        return this.stop(body);
      case "/api/hold":
        return this.hold(body);
      case "/api/pace":
        return this.answer({});
      default:
        return { status: 404 };
    }
  }

  answer(fields) {
    return { status: 200, body: { clockMs: this.clockMs(), born: this.born, ...fields } };
  }

  refuse(reason) {
    return { status: 409, body: { clockMs: this.clockMs(), born: this.born, reason } };
  }

  extend(deadlineMs) {
    if (deadlineMs !== undefined) {
      const untilMs = Math.min(deadlineMs, this.clockMs() + this.holdMaxMs);
      this.leaseUntilMs = Math.max(this.leaseUntilMs, untilMs);
    }
  }

  expire() {
    if (this.clockMs() > this.leaseUntilMs) {
      for (const task of [...this.running.keys()]) {
        this.end(task, "lapsed");
      }
    }
  }

  start({ task, run, spec, deadlineMs, fencingToken }) {
    const present = this.running.get(task);
    if (present?.run === run) {
      this.extend(deadlineMs);
      return this.answer({});
    }
    if (present !== undefined || run <= (this.highestEnded.get(task) ?? 0)) {
      this.extend(deadlineMs);
      return this.refuse("old");
    }
    if (deadlineMs <= this.clockMs()) {
      return this.refuse("late");
    }
    this.extend(deadlineMs);
    // An item that lasts has no `workMs`; with `doneAfterMs`, its first run ends by itself.
    const { workMs, doneAfterMs = null } = JSON.parse(spec);
    const endsAfterMs = workMs ?? (this.endsByItself(task) ? doneAfterMs : null);
    const entry = { run, workMs, startedAtMs: performance.now(), stopping: false, timer: null };
    this.running.set(task, entry);
    if (endsAfterMs !== null) {
      entry.timer = setTimeout(() => {
        this.end(task, "done");
      }, endsAfterMs);
    }
    this.observe({ kind: "started", worker: this.id, task, run, fence: fencingToken });
    return this.answer({});
  }

  stop({ task, run, fencingToken }) {
    const present = this.running.get(task);
    if (present?.run !== run) {
      this.highestEnded.set(task, Math.max(this.highestEnded.get(task) ?? 0, run));
      return this.answer({});
    }
    if (!present.stopping) {
      present.stopping = true;
      clearTimeout(present.timer);
      present.timer = setTimeout(() => {
        this.end(task, "stopped");
      }, this.stopTakesMs);
      this.observe({ kind: "stopping", worker: this.id, task, run, fence: fencingToken });
    }
    return this.answer({});
  }

  async hold({ deadlineMs, lastSeen = 0, waitMs = 0 }) {
    this.extend(deadlineMs);
    this.ends = this.ends.filter(([number]) => number > lastSeen);
    if (this.ends.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        this.waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const running = [...this.running].map(([task, entry]) => [
      task,
      entry.run,
      "",
      this.percentOf(entry),
      100,
    ]);
    return this.answer({ running, finished: this.ends.slice(0, MAX_LISTED_ENDS) });
  }

  percentOf({ workMs, startedAtMs }) {
    const sinceMs = performance.now() - startedAtMs;
    return Math.min(
      workMs === null ? 100 : 99,
      Math.floor((100 * sinceMs) / (workMs ?? STARTUP_MS)),
    );
  }

  end(task, how) {
    const entry = this.running.get(task);
    clearTimeout(entry.timer);
    this.running.delete(task);
    this.highestEnded.set(task, Math.max(this.highestEnded.get(task) ?? 0, entry.run));
    this.ends.push([this.nextEnd, task, entry.run, how, ""]);
    this.nextEnd += 1;
    this.observe({ kind: "ended", worker: this.id, task, run: entry.run, how });
    const waiting = [...this.waiting];
    this.waiting.clear();
    waiting.forEach((resume) => {
      resume();
    });
  }
}
