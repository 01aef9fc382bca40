import { connect, type ClientHttp2Session } from "node:http2";
import { clientScripts, type ClientScript } from "@heatherferry/standins";
import test from "ava";
import { checkEntryHost, playCrowd, startEntryHost } from "../helpers/crowd.js";
import { SECRET } from "../helpers/fixture.js";

const BOUNDS = { memoryMb: 200, descriptors: 400 } as const;

const CONNECTIONS = { ONE: 1, MANY: 400 } as const;

const scriptsWithKey = (key: string): readonly ClientScript[] => {
  const fields = `host: callers\r\nauthorization: Bearer ${key}\r\n`;
  return clientScripts({
    head: `POST /queues/register/x HTTP/1.1\r\n${fields}`,
    plainRequest: `GET /queues/register/x HTTP/1.1\r\n${fields}\r\n`,
    heldBytes: 260_000,
    permittedBytes: 9_000,
  });
};

for (const script of scriptsWithKey(SECRET)) {
  test.serial(`${script.title} end the entry host or exceed its limits`, async (t) => {
    const host = await startEntryHost(t, BOUNDS);
    await playCrowd(t, host, BOUNDS, { script, connections: CONNECTIONS.MANY });
  });
}

test.serial("a client over one connection ends the entry host or exceeds its limits", async (t) => {
  const host = await startEntryHost(t, BOUNDS);
  for (const script of scriptsWithKey(SECRET)) {
    await playCrowd(t, host, BOUNDS, { script, connections: CONNECTIONS.ONE });
  }
});

for (const listener of ["callers", "peers", "admin"] as const) {
  test.serial(`clients of ${listener} without a key end the entry host`, async (t) => {
    const host = await startEntryHost(t, BOUNDS);
    for (const script of scriptsWithKey("unknown")) {
      await playCrowd(t, host, BOUNDS, { script, connections: CONNECTIONS.MANY }, listener);
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
  const host = await startEntryHost(t, BOUNDS);
  const session = connect(`http://${host.addresses.peers}`);
  session.on("error", () => undefined);
  t.teardown(() => {
    session.destroy();
  });
  await Promise.all(Array.from({ length: MESSAGES.COUNT }, async () => sendOpenMessage(session)));
  await checkEntryHost(t, host, BOUNDS, "messages of a peer");
});
