import { connect, type ClientHttp2Session } from "node:http2";
import {
  ClientCrowd,
  clientScripts,
  openDescriptors,
  peakMemoryMb,
  type ClientScript,
  type Program,
} from "@heatherferry/standins";
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { addressIn, SECRET, until } from "../helpers/fixture.js";
import { sendRequest, startSite, stopSite } from "../helpers/site.js";

const BOUND = { MEMORY_MB: 200, DESCRIPTORS: 400 } as const;

const CONNECTIONS = { ONE: 1, MANY: 400 } as const;

const SETTINGS = [
  "[limits]",
  `memory_mb = ${BOUND.MEMORY_MB}`,
  `max_descriptors = ${BOUND.DESCRIPTORS}`,
];

const RUNTIME_OPTIONS = ["--max-old-space-size=110", "--max-semi-space-size=4"];

const scriptsWithKey = (key: string): readonly ClientScript[] => {
  const fields = `host: callers\r\nauthorization: Bearer ${key}\r\n`;
  return clientScripts({
    head: `POST /queues/register/x HTTP/1.1\r\n${fields}`,
    plainRequest: `GET /queues/register/x HTTP/1.1\r\n${fields}\r\n`,
    heldBytes: 260_000,
    permittedBytes: 9_000,
  });
};

interface EntryHost {
  readonly entry: Program;
  readonly callers: string;
  readonly peers: string;
  readonly admin: string;
}

const startEntryHost = async (t: ExecutionContext): Promise<EntryHost> => {
  const site = await startSite(1, {
    zones: ["a"],
    furtherSettings: SETTINGS,
    runtimeOptions: RUNTIME_OPTIONS,
  });
  t.teardown(async () => stopSite(site));
  const [entry] = site.entries;
  if (entry === undefined) {
    throw new Error("The site has no entry host");
  }
  const record = await entry.waitForLog("listening");
  return {
    entry,
    callers: addressIn(record, "callers"),
    peers: addressIn(record, "peers"),
    admin: addressIn(record, "admin"),
  };
};

const isServing = async ({ callers, admin }: EntryHost): Promise<boolean> => {
  try {
    const answer = await sendRequest(callers, "/after");
    const outcome = answer.headers.get("heatherferry-outcome");
    await answer.text();
    return outcome === "answered" && (await request(`http://${admin}/metrics`)).statusCode === 200;
  } catch {
    return false;
  }
};

const playCrowd = async (
  t: ExecutionContext,
  host: EntryHost,
  script: ClientScript,
  connections: number,
  listener: "callers" | "peers" | "admin" = "callers",
): Promise<void> => {
  const { entry } = host;
  const beforeMb = peakMemoryMb(entry.pid);
  const crowd = new ClientCrowd(host[listener], connections, script);
  t.teardown(() => {
    crowd.close();
  });
  let descriptors = 0;
  await crowd.settle(() => {
    const now = entry.hasExited ? 0 : openDescriptors(entry.pid);
    descriptors = Math.max(descriptors, now);
    return now;
  });
  t.false(entry.hasExited, "the entry host has ended");
  await until(async () => isServing(host), "an ordinary request to be answered");
  const peakMb = peakMemoryMb(entry.pid);
  t.log(
    `${script.title}: ${Math.round(beforeMb)} MB before, peak ${Math.round(peakMb)} MB, descriptors ${descriptors}`,
  );
  t.true(peakMb <= BOUND.MEMORY_MB, `peak of ${peakMb} MB`);
  t.true(descriptors <= BOUND.DESCRIPTORS, `${descriptors} descriptors`);
  crowd.close();
};

for (const script of scriptsWithKey(SECRET)) {
  test.serial(`${script.title} end the entry host or exceed its limits`, async (t) => {
    await playCrowd(t, await startEntryHost(t), script, CONNECTIONS.MANY);
  });
}

test.serial("a client over one connection ends the entry host or exceeds its limits", async (t) => {
  const host = await startEntryHost(t);
  for (const script of scriptsWithKey(SECRET)) {
    await playCrowd(t, host, script, CONNECTIONS.ONE);
  }
});

for (const listener of ["callers", "peers", "admin"] as const) {
  test.serial(`clients of ${listener} without a key end the entry host`, async (t) => {
    const host = await startEntryHost(t);
    for (const script of scriptsWithKey("unknown")) {
      await playCrowd(t, host, script, CONNECTIONS.MANY, listener);
    }
  });
}

const MESSAGES = { COUNT: 60, BYTES: 5_000_000 } as const;

/** Sends the start of a message, and resolves once it is sent or refused. */
const sendOpenMessage = async (session: ClientHttp2Session): Promise<void> => {
  const stream = session.request({
    ":method": "POST",
    ":path": "/heatherferry.peers.v1.PeerService/Deliver",
    "content-type": "application/proto",
  });
  stream.on("error", () => undefined);
  await new Promise<void>((resolve) => {
    stream.once("close", resolve);
    stream.write(Buffer.alloc(MESSAGES.BYTES), () => {
      resolve();
    });
  });
};

test.serial("messages of a peer that are held open exceed the limits", async (t) => {
  const host = await startEntryHost(t);
  const session = connect(`http://${host.peers}`);
  session.on("error", () => undefined);
  t.teardown(() => {
    session.destroy();
  });
  await Promise.all(Array.from({ length: MESSAGES.COUNT }, async () => sendOpenMessage(session)));
  await until(async () => isServing(host), "an ordinary request to be answered");
  const peakMb = peakMemoryMb(host.entry.pid);
  t.log(`peak ${Math.round(peakMb)} MB`);
  t.true(peakMb <= BOUND.MEMORY_MB, `peak of ${peakMb} MB`);
});
