import test from "ava";
import { settingsText, startEntryProgram, until } from "./helpers/fixture.js";
import { sendRequest, startSite, stopSite } from "./helpers/site.js";

test.serial("a request goes through each zone's entry host to a target and back", async (t) => {
  const site = await startSite();
  for (const [index, callers] of site.callers.entries()) {
    const response = await sendRequest(callers, "/lot/7?x=1");
    t.is(response.headers.get("heatherferry-outcome"), "answered");
    t.is(await response.text(), "answer to /lot/7?x=1");
    t.deepEqual(site.targets[index]?.paths, ["/lot/7?x=1"]);
  }
  const refused = await sendRequest(site.callers[0], "/lot/8", "no-such-key");
  t.is(refused.status, 403);
  t.is(refused.headers.get("heatherferry-outcome"), "not-run");
  const withoutQueue = await fetch(`http://${site.callers[0] ?? ""}/queues/nope/x`);
  t.is(withoutQueue.status, 404);
  await stopSite(site);
});

test.serial("an answer that the target truncates never looks complete", async (t) => {
  const site = await startSite();
  await t.throwsAsync(async () => {
    const response = await sendRequest(site.callers[0], "/cut");
    await response.text();
  });
  await stopSite(site);
});

test.serial("an entry host on SIGTERM finishes requests, refuses new ones and exits", async (t) => {
  const site = await startSite();
  const [entry] = site.entries;
  const [target] = site.targets;
  const running = sendRequest(site.callers[0], "/held");
  await until(
    async () => Promise.resolve(target?.heldResponses.length === 1),
    "the request to run",
  );
  entry?.signal("SIGTERM");
  await entry?.waitForLog("shuttingDown");
  const late = await sendRequest(site.callers[0], "/late");
  t.is(late.headers.get("heatherferry-outcome"), "not-run");
  target?.heldResponses[0]?.end("held answer");
  const response = await running;
  t.is(await response.text(), "held answer");
  t.is(await entry?.waitForExit(), 0);
  await stopSite(site);
});

test.serial("settings with an unknown key prevent the start and exit with code 2", async (t) => {
  const text = settingsText("e-1", "a", "http://127.0.0.1:1").replace("port = 0", "prt = 0");
  const entry = startEntryProgram(text);
  t.is(await entry.waitForExit(), 2);
  const [line] = entry.records;
  t.regex(String(line?.text), /entry\.toml: .*callers\.port.*unknown key callers\.prt/);
});
