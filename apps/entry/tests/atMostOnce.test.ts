import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { InstantHostPower, PlatformStandIn } from "@heatherferry/standins";
import test from "ava";
import {
  addressIn,
  writeFleetRows,
  isReady,
  SECRET,
  settingsText,
  startEntryProgram,
  until,
} from "./helpers/fixture.js";

interface Answer {
  readonly statusCode: number;
  readonly outcome: string | null;
  readonly text: string;
}

const post = async (caller: string, headers: Record<string, string>): Promise<Answer> => {
  const response = await fetch(`http://${caller}/queues/register/mark`, {
    method: "POST",
    headers: { authorization: `Bearer ${SECRET}`, ...headers },
    body: "cork",
  });
  const outcome = response.headers.get("heatherferry-outcome");
  return { statusCode: response.status, outcome, text: await response.text() };
};

test("work sent through two entry hosts runs once, and duplicates get its answer", async (t) => {
  const platform = new PlatformStandIn(new InstantHostPower());
  await platform.listen();
  let runs = 0;
  const target = createServer((request, response) => {
    request.resume();
    request.once("end", () => {
      runs += 1;
      response.end(`run ${runs}`);
    });
  });
  await new Promise<void>((resolve) => {
    target.listen(0, "127.0.0.1", resolve);
  });
  const { port } = target.address() as AddressInfo;
  const host = { name: "register-1", zone: "a", address: `127.0.0.1:${port}` };
  await writeFleetRows(platform.origin, [host]);
  const entries = ["e1", "e2"].map((id) =>
    startEntryProgram(settingsText(id, "a", platform.origin)),
  );
  t.teardown(async () => {
    await Promise.all(entries.map(async (entry) => entry.kill()));
    target.closeAllConnections();
    target.close();
    await platform.close();
  });
  const records = await Promise.all(entries.map(async (entry) => entry.waitForLog("listening")));
  const callers = records.map((record) => addressIn(record, "callers"));
  const admins = records.map((record) => addressIn(record, "admin"));
  const [first = "", second = ""] = callers;
  await until(
    async () => (await Promise.all(admins.map(isReady))).every(Boolean),
    "rules at both entry hosts",
  );
  for (const [issuer, other] of [callers, [...callers].reverse()]) {
    await until(async () => {
      const probe = { "heatherferry-ticket": await requestTicket(issuer ?? "") };
      return (await post(other ?? "", probe)).statusCode === 200;
    }, "the entry hosts to discover each other");
  }

  const ticket = { "heatherferry-ticket": await requestTicket(first) };
  const requestId = { "heatherferry-request-id": "lot-7" };
  for (const headers of [ticket, requestId]) {
    const before = runs;
    const answers = await Promise.all([first, second, first].map((to) => post(to, headers)));
    answers.push(await post(second, headers));
    t.is(runs, before + 1);
    for (const answer of answers) {
      t.deepEqual(answer, { statusCode: 200, outcome: "answered", text: `run ${runs}` });
    }
  }
});

const requestTicket = async (caller: string): Promise<string> => {
  const response = await fetch(`http://${caller}/tickets?count=1`, { method: "POST" });
  const { tickets } = (await response.json()) as { tickets: string[] };
  return tickets[0] ?? "";
};
