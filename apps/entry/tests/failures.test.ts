import { setTimeout as sleep } from "node:timers/promises";
import { KEYS, REFUSAL_KIND } from "@heatherferry/core";
import test from "ava";
import { changeRules, RULES, until } from "./helpers/fixture.js";
import { sendRequest, startSite, stopSite, type Site } from "./helpers/site.js";

const OUTCOME = "heatherferry-outcome";

const RULES_WITHOUT_KEY = RULES.split("\n")
  .filter((line) => !line.startsWith("key "))
  .join("\n");

const OPEN_QUEUE =
  "queue open pool=register open=yes team=lots max-queued=50 timeout-ms=10000 # asked by lots";

const kindOf = async (response: Response): Promise<string> => {
  const body = (await response.json()) as { kind: string };
  return body.kind;
};

const outcomeOf = async (site: Site, path: string): Promise<string | null> => {
  const response = await sendRequest(site.callers[0], path);
  await response.text();
  return response.headers.get(OUTCOME);
};

test.serial("a key withdrawn while its entry host is paused is refused afterwards", async (t) => {
  const site = await startSite();
  const [entry] = site.entries;
  entry?.signal("SIGSTOP");
  await changeRules(site.platform.origin, 2, RULES_WITHOUT_KEY);
  const asked = sendRequest(site.callers[0], "/after-the-pause");
  await sleep(KEYS.MAX_VIEW_AGE_MS + 500);
  entry?.signal("SIGCONT");
  const response = await asked;
  t.is(response.headers.get(OUTCOME), "not-run");
  t.deepEqual(site.targets[0]?.paths, []);
  await until(async () => {
    const later = await sendRequest(site.callers[0], "/later");
    return (await kindOf(later)) === REFUSAL_KIND.UNKNOWN_KEY;
  }, "the withdrawal to reach the entry host");
  await stopSite(site);
});

test.serial(
  "without the platform closed queues refuse, open ones serve, and both recover",
  async (t) => {
    const site = await startSite();
    await changeRules(site.platform.origin, 2, `${RULES}\n${OPEN_QUEUE}`);
    const askOpen = async (): Promise<Response> =>
      fetch(`http://${site.callers[0] ?? ""}/queues/open/x`);
    await until(async () => (await askOpen()).status === 200, "the open queue");
    site.platform.setFaults({ down: true });
    await until(
      async () => (await outcomeOf(site, "/closed")) === "not-run",
      "closed queues to refuse",
    );
    const refused = await sendRequest(site.callers[0], "/closed");
    t.is(await kindOf(refused), REFUSAL_KIND.KEYS_TOO_OLD);
    t.is((await askOpen()).headers.get(OUTCOME), "answered");
    site.platform.setFaults({});
    await until(async () => (await outcomeOf(site, "/again")) === "answered", "the recovery");
    await stopSite(site);
  },
);

test.serial("an unresponsive target is ejected, and its requests end as unknown", async (t) => {
  const site = await startSite(2);
  const [unresponsive] = site.targets;
  unresponsive?.server.removeAllListeners("request");
  unresponsive?.server.on("request", (request) => {
    unresponsive.paths.push(request.url ?? "");
  });
  const outcomes = new Map<string, string | null>();
  const sendOnce = async (): Promise<void> => {
    const path = `/x${outcomes.size}`;
    outcomes.set(path, null);
    const headers = { "heatherferry-timeout-ms": "1000" };
    const response = await sendRequest(site.callers[0], path, undefined, headers);
    await response.text();
    outcomes.set(path, response.headers.get(OUTCOME));
  };
  await until(async () => {
    await Promise.all([sendOnce(), sendOnce(), sendOnce(), sendOnce()]);
    const metrics = await (await fetch(`http://${site.admins[0] ?? ""}/metrics`)).text();
    return metrics.includes("heatherferry_target_ejections 1\n");
  }, "the unresponsive target to be ejected");
  t.true([...outcomes.values()].includes("unknown"));
  const notRun = [...outcomes].filter(([, outcome]) => outcome === "not-run");
  t.deepEqual(
    notRun.filter(([path]) => unresponsive?.paths.includes(path)),
    [],
  );
  const pathCount = unresponsive?.paths.length;
  for (let count = 0; count < 10; count += 1) {
    t.is(await outcomeOf(site, "/y"), "answered");
  }
  t.is(unresponsive?.paths.length, pathCount);
  await stopSite(site);
});

test.serial(
  "an entry host killed during a request causes no second run, and its successor serves",
  async (t) => {
    const site = await startSite();
    const [entry] = site.entries;
    const [target] = site.targets;
    const running = sendRequest(site.callers[0], "/held", undefined, {
      "heatherferry-idempotent": "false",
    });
    await until(
      async () => Promise.resolve(target?.heldResponses.length === 1),
      "the request to run",
    );
    await entry?.kill();
    await t.throwsAsync(running);
    const successor = await site.startEntry("a");
    const response = await sendRequest(successor, "/after");
    t.is(response.headers.get(OUTCOME), "answered");
    t.deepEqual(target?.paths, ["/held", "/after"]);
    await stopSite(site);
  },
);
