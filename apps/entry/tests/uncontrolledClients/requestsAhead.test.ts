import { requestsAhead } from "@heatherferry/standins";
import test from "ava";
import { playBusyCrowd, playCrowd, startEntryHost } from "../helpers/crowd.js";
import { SECRET } from "../helpers/fixture.js";

const BOUNDS = { memoryMb: 200, descriptors: 2_000 } as const;

/** Below the number that the limits allow to be open. */
const CONNECTIONS = 600;

const REQUESTS = 400;

const REQUEST = "GET /queues/register/x HTTP/1.1\r\nhost: callers\r\n";

const SCRIPT = {
  withKey: requestsAhead(`${REQUEST}authorization: Bearer ${SECRET}\r\n\r\n`, REQUESTS),
  withoutKey: requestsAhead(`${REQUEST}\r\n`, REQUESTS),
  unknownPath: requestsAhead("GET /none HTTP/1.1\r\nhost: callers\r\n\r\n", REQUESTS),
  metrics: requestsAhead("GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n", REQUESTS),
} as const;

test.serial("requests ahead of their answers, without a key, end the entry host", async (t) => {
  const host = await startEntryHost(t, BOUNDS);
  await playBusyCrowd(t, host, BOUNDS, { script: SCRIPT.withoutKey, connections: CONNECTIONS });
});

test.serial("requests ahead of their answers, with a key, end the entry host", async (t) => {
  const host = await startEntryHost(t, BOUNDS);
  await playBusyCrowd(t, host, BOUNDS, { script: SCRIPT.withKey, connections: CONNECTIONS });
});

test.serial("requests ahead of answers that are never read end the entry host", async (t) => {
  const host = await startEntryHost(t, BOUNDS);
  const script = { ...SCRIPT.withKey, readsAnswers: false };
  await playCrowd(t, host, BOUNDS, { script, connections: CONNECTIONS });
});

test.serial("requests for no path ahead of their answers end the entry host", async (t) => {
  const host = await startEntryHost(t, BOUNDS);
  await playBusyCrowd(t, host, BOUNDS, { script: SCRIPT.unknownPath, connections: CONNECTIONS });
});

test.serial("collections of metrics ahead of their answers end the entry host", async (t) => {
  const host = await startEntryHost(t, BOUNDS);
  const crowd = { script: SCRIPT.metrics, connections: CONNECTIONS };
  await playBusyCrowd(t, host, BOUNDS, crowd, "admin");
});
