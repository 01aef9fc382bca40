import { connect, type ClientHttp2Session } from "node:http2";
import test from "ava";
import { checkEntryHost, startEntryHost } from "../helpers/crowd.js";

const BOUNDS = { memoryMb: 200, descriptors: 2_000 } as const;

const PEERS = { CONNECTIONS: 150, CALLS: 400 } as const;

/** Starts calls that never send their messages, and resolves once each is sent or refused. */
const openCalls = async (session: ClientHttp2Session): Promise<void> => {
  const streams = Array.from({ length: PEERS.CALLS }, () =>
    session.request({
      ":method": "POST",
      ":path": "/heatherferry.peers.v1.PeerService/Deliver",
      "content-type": "application/proto",
    }),
  );
  await Promise.all(
    streams.map(
      async (stream) =>
        new Promise<void>((resolve) => {
          stream.on("error", () => undefined);
          stream.once("ready", resolve);
          stream.once("close", resolve);
        }),
    ),
  );
};

test.serial("calls of peers that are held open end the entry host", async (t) => {
  const host = await startEntryHost(t, BOUNDS);
  const sessions = Array.from({ length: PEERS.CONNECTIONS }, () => {
    const session = connect(`http://${host.addresses.peers}`);
    session.on("error", () => undefined);
    return session;
  });
  t.teardown(() => {
    sessions.forEach((session) => {
      session.destroy();
    });
  });
  await Promise.all(sessions.map(openCalls));
  await checkEntryHost(t, host, BOUNDS, "calls of peers");
});
