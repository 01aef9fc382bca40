import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { hostId } from "@heatherferry/common";
import test from "ava";
import { HttpHostDirectory, PlatformError } from "../src/index.js";

const HOST = {
  hostId: "dies-1",
  availabilityZone: "a",
  rack: "r1",
  address: "127.0.0.1:1",
  slots: 8,
  state: "live",
};

const startDirectory = async (
  listener: RequestListener,
): Promise<{ server: Server; directory: HttpHostDirectory }> => {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return { server, directory: new HttpHostDirectory(`http://127.0.0.1:${port}`) };
};

const errorKind = async (call: Promise<unknown>): Promise<string> => {
  try {
    await call;
  } catch (error) {
    return error instanceof PlatformError ? error.kind : "another error";
  }
  return "no error";
};

test("the host list is read, and a reboot request names its host", async (t) => {
  const paths: string[] = [];
  const { server, directory } = await startDirectory((request, response) => {
    paths.push(`${request.method ?? ""} ${request.url ?? ""}`);
    response.end(JSON.stringify(request.method === "GET" ? { hosts: [HOST] } : {}));
  });
  t.deepEqual(await directory.list(), [HOST] as never);
  await directory.reboot(hostId("dies/1"));
  t.deepEqual(paths, ["GET /v1/hosts", "POST /v1/hosts/dies%2F1/reboot"]);
  await directory.close();
  server.close();
});

test("a host list with one host in an unknown state is rejected whole", async (t) => {
  const { server, directory } = await startDirectory((_request, response) => {
    response.end(JSON.stringify({ hosts: [HOST, { ...HOST, state: "gone" }] }));
  });
  t.is(await errorKind(directory.list()), "nonsense");
  await directory.close();
  server.close();
});

test("a host that does not come back and an unreachable platform are distinguished", async (t) => {
  const { server, directory } = await startDirectory((_request, response) => {
    response.writeHead(504).end();
  });
  t.is(await errorKind(directory.reboot(hostId("dies-1"))), "refused");
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  t.is(await errorKind(directory.reboot(hostId("dies-1"))), "unreachable");
  await directory.close();
});
