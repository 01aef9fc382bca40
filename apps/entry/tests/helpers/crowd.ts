import {
  ClientCrowd,
  openDescriptors,
  peakMemoryMb,
  type ClientScript,
  type Program,
} from "@heatherferry/standins";
import type { ExecutionContext } from "ava";
import { request } from "undici";
import { addressIn, until } from "./fixture.js";
import { sendRequest, startSite, stopSite } from "./site.js";

/** What an entry host may use while it serves a crowd. */
export interface CrowdBounds {
  readonly memoryMb: number;
  readonly descriptors: number;
}

/** Limit of the heap of an entry host that has 200 MB. */
const RUNTIME_OPTIONS = ["--max-old-space-size=110", "--max-semi-space-size=4"];

/** A listener of an entry host. */
export type Listener = "callers" | "peers" | "admin";

/** An entry host in a process of its own, and the addresses of its listeners. */
export interface EntryHost {
  readonly entry: Program;
  readonly addresses: Readonly<Record<Listener, string>>;
}

/**
 * Starts an entry host on a small machine.
 *
 * @param t - The test; the entry host ends with it.
 * @param bounds - Size of the machine.
 */
export const startEntryHost = async (
  t: ExecutionContext,
  bounds: CrowdBounds,
): Promise<EntryHost> => {
  const site = await startSite(1, {
    zones: ["a"],
    furtherSettings: [
      "[limits]",
      `memory_mb = ${bounds.memoryMb}`,
      `max_descriptors = ${bounds.descriptors}`,
    ],
    runtimeOptions: RUNTIME_OPTIONS,
  });
  t.teardown(async () => stopSite(site));
  const [entry] = site.entries;
  if (entry === undefined) {
    throw new Error("The site has no entry host");
  }
  const record = await entry.waitForLog("listening");
  const addresses = {
    callers: addressIn(record, "callers"),
    peers: addressIn(record, "peers"),
    admin: addressIn(record, "admin"),
  };
  return { entry, addresses };
};

const isServing = async ({ addresses }: EntryHost): Promise<boolean> => {
  try {
    const answer = await sendRequest(addresses.callers, "/after");
    const outcome = answer.headers.get("heatherferry-outcome");
    await answer.text();
    const metrics = await request(`http://${addresses.admin}/metrics`);
    return outcome === "answered" && metrics.statusCode === 200;
  } catch {
    return false;
  }
};

/**
 * Checks that an entry host lives, answers an ordinary request, and has stayed within its memory.
 *
 * @param t - The test.
 * @param host - The entry host.
 * @param bounds - Its bounds.
 * @param title - Names the crowd in the log of the test.
 */
export const checkEntryHost = async (
  t: ExecutionContext,
  host: EntryHost,
  bounds: CrowdBounds,
  title: string,
): Promise<void> => {
  const { entry } = host;
  await until(async () => entry.hasExited || isServing(host), "an ordinary request to be answered");
  t.false(entry.hasExited, "the entry host has ended");
  const peakMb = peakMemoryMb(entry.pid);
  t.log(`${title}: peak ${Math.round(peakMb)} MB`);
  t.true(peakMb <= bounds.memoryMb, `peak of ${peakMb} MB`);
};

/** Connections that all send the same. */
interface Crowd {
  readonly script: ClientScript;
  readonly connections: number;
}

const openCrowd = (
  t: ExecutionContext,
  address: string,
  { script, connections }: Crowd,
): ClientCrowd => {
  const clients = new ClientCrowd(address, connections, script);
  t.teardown(() => {
    clients.close();
  });
  return clients;
};

/**
 * Plays a crowd against a listener of an entry host, and checks the entry host afterwards.
 *
 * @param t - The test.
 * @param host - The entry host.
 * @param bounds - Its bounds.
 * @param crowd - What each connection sends, and their number.
 * @param listener - The listener.
 */
export const playCrowd = async (
  t: ExecutionContext,
  host: EntryHost,
  bounds: CrowdBounds,
  crowd: Crowd,
  listener: Listener = "callers",
): Promise<void> => {
  const { entry } = host;
  const clients = openCrowd(t, host.addresses[listener], crowd);
  let descriptors = 0;
  await clients.settle(() => {
    const now = entry.hasExited ? 0 : openDescriptors(entry.pid);
    descriptors = Math.max(descriptors, now);
    return now;
  });
  await checkEntryHost(t, host, bounds, `${crowd.script.title}, ${descriptors} descriptors`);
  t.true(descriptors <= bounds.descriptors, `${descriptors} descriptors`);
  clients.close();
};

/**
 * Plays a crowd that goes on after its first answers, and checks the entry host while it does and
 * after it has left.
 *
 * @param t - The test.
 * @param host - The entry host.
 * @param bounds - Its bounds.
 * @param crowd - What each connection sends, and their number.
 * @param listener - The listener.
 */
export const playBusyCrowd = async (
  t: ExecutionContext,
  host: EntryHost,
  bounds: CrowdBounds,
  crowd: Crowd,
  listener: Listener = "callers",
): Promise<void> => {
  const { entry } = host;
  const clients = openCrowd(t, host.addresses[listener], crowd);
  await clients.firstAnswers();
  const descriptors = entry.hasExited ? 0 : openDescriptors(entry.pid);
  await checkEntryHost(t, host, bounds, `during ${crowd.script.title}`);
  clients.close();
  await checkEntryHost(t, host, bounds, `after ${crowd.script.title}`);
  t.true(descriptors <= bounds.descriptors, `${descriptors} descriptors`);
};
