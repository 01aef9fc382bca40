import { request } from "node:http";
import { createServer } from "node:net";
import { REQUEST } from "@heatherferry/core";
import test from "ava";
import { writeFleetRows, SECRET, until } from "./helpers/fixture.js";
import { sendRequest, startSite, stopSite } from "./helpers/site.js";

const OUTCOME = "heatherferry-outcome";

test.serial("bad input gets a clear error, and the entry host continues to serve", async (t) => {
  const site = await startSite();
  const [callers = ""] = site.callers;
  const url = `http://${callers}/queues/register/x`;
  const authorization = `Bearer ${SECRET}`;

  const badTimeout = await sendRequest(callers, "/x", undefined, {
    "heatherferry-timeout-ms": "soon",
  });
  t.is(badTimeout.status, 400);
  t.regex(await badTimeout.text(), /heatherferry-timeout-ms.*milliseconds.*has not run/);

  const withoutKey = await fetch(url);
  t.is(withoutKey.status, 401);
  t.is(withoutKey.headers.get(OUTCOME), "not-run");

  const body = Buffer.alloc(REQUEST.MAX_BODY_BYTES + 1);
  const large = await fetch(url, { method: "POST", headers: { authorization }, body });
  t.is(large.status, 413);
  t.is(large.headers.get(OUTCOME), "not-run");

  const truncated = request(url, {
    method: "POST",
    headers: { authorization, "content-length": "100" },
  });
  truncated.once("error", () => undefined);
  truncated.write("half of it");
  truncated.once("socket", (socket) => {
    socket.once("connect", () => socket.destroy());
  });
  await new Promise((resolve) => truncated.once("close", resolve));

  const after = await sendRequest(callers, "/after");
  t.is(after.headers.get(OUTCOME), "answered");
  t.deepEqual(site.targets[0]?.paths, ["/after"]);
  await stopSite(site);
});

test.serial("a target's invalid HTTP is an unknown outcome, not an answer", async (t) => {
  const site = await startSite(0);
  const invalidTarget = createServer((socket) => {
    socket.once("data", () => socket.end("this is no HTTP\r\n\r\n"));
    socket.on("error", () => undefined);
  });
  await new Promise<void>((resolve) => {
    invalidTarget.listen(0, "127.0.0.1", resolve);
  });
  const bound = invalidTarget.address();
  const port = typeof bound === "object" && bound !== null ? bound.port : 0;
  await writeFleetRows(site.platform.origin, [
    { name: "register-z", zone: "a", address: `127.0.0.1:${port}` },
  ]);
  const headers = { "heatherferry-idempotent": "false" };
  const outcomes = new Set<string | null>();
  await until(async () => {
    const response = await sendRequest(site.callers[0], "/x", undefined, headers);
    await response.text();
    outcomes.add(response.headers.get(OUTCOME));
    return outcomes.has("unknown");
  }, "the invalid response to be reported as unknown");
  t.false(outcomes.has("answered"));
  invalidTarget.close();
  await stopSite(site);
});
