import { createServer, type IncomingHttpHeaders } from "node:http";
import type { AddressInfo } from "node:net";
import FakeTimers from "@sinonjs/fake-timers";
import test, { type ExecutionContext } from "ava";
import { answerBody, CallerLoad, type LoadStream, type StreamReport } from "../src/index.js";

interface Answer {
  readonly outcome: string;
  readonly tag: string;
  readonly body: string;
}

const STREAM: LoadStream = {
  team: "lots",
  secret: "secret",
  queue: "register",
  meanPerSecond: 100,
  phases: [],
  idempotentFraction: 0.5,
  workMs: 1,
  workJitterMs: 0,
  bodyBytes: 10,
  answerBytes: 64,
  timeoutMs: null,
};

/** Sends a short load to a server that answers with `answer`; returns the stream's report. */
const runLoad = async (
  t: ExecutionContext,
  answer: (headers: IncomingHttpHeaders, tag: string) => Answer,
): Promise<StreamReport> => {
  const server = createServer((request, response) => {
    request.resume();
    const { outcome, tag, body } = answer(
      request.headers,
      String(request.headers["x-request-tag"]),
    );
    response.writeHead(200, { "heatherferry-outcome": outcome, "x-request-tag": tag });
    response.end(body);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const entryHosts = [`127.0.0.1:${port}`];
  const clock = FakeTimers.install({ toFake: ["setInterval", "clearInterval", "performance"] });
  t.teardown(() => {
    clock.uninstall();
  });
  const load = new CallerLoad({ entryHosts, streams: [STREAM], durationMs: 200, seed: 1 });
  const report = load.run();
  clock.tick(200);
  const [stream] = (await report).streams;
  clock.uninstall();
  if (stream === undefined || stream.sent === 0) {
    throw new Error("the load has sent no request");
  }
  return stream;
};

test.serial(
  "a full answer to a request that carries the team's key is counted without a fault",
  async (t) => {
    const stream = await runLoad(t, ({ authorization }, tag) => ({
      outcome: authorization === "Bearer secret" ? "answered" : "not-run",
      tag,
      body: answerBody(tag, 64),
    }));
    t.like(stream, { answered: stream.sent, crossed: 0, notWhole: 0, notRun: 0 });
  },
);

test.serial("the answer to another request is detected by its tag", async (t) => {
  const stream = await runLoad(t, (_headers, tag) => ({
    outcome: "answered",
    tag: `${tag}0`,
    body: answerBody(tag, 64),
  }));
  t.is(stream.crossed, stream.sent);
});

test.serial(
  "an answer that is cut short, or has the body of another request, is detected",
  async (t) => {
    const short = await runLoad(t, (_headers, tag) => ({
      outcome: "answered",
      tag,
      body: answerBody(tag, 63),
    }));
    t.is(short.notWhole, short.sent);
    const mixed = await runLoad(t, (_headers, tag) => ({
      outcome: "answered",
      tag,
      body: answerBody(`${tag}0`, 64),
    }));
    t.is(mixed.notWhole, mixed.sent);
  },
);

test.serial(
  "a refusal is counted by its kind, and an answer without an outcome as broken",
  async (t) => {
    const refused = await runLoad(t, (_headers, tag) => ({
      outcome: "not-run",
      tag,
      body: '{"kind":"queueFull"}',
    }));
    t.deepEqual(refused.refusals, { queueFull: refused.sent });
    const unlabelled = await runLoad(t, (_headers, tag) => ({ outcome: "", tag, body: "" }));
    t.is(unlabelled.broken, unlabelled.sent);
  },
);
