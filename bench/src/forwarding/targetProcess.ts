import { createServer } from "node:http";
import { FORWARDING } from "./constants.js";

const BODY = Buffer.alloc(FORWARDING.BODY_BYTES, "x");

const server = createServer((request, response) => {
  request.resume();
  request.once("end", () => {
    response.writeHead(200, { "content-type": "text/plain", "content-length": BODY.length });
    response.end(BODY);
  });
});

server.listen(0, "127.0.0.1", () => {
  process.send?.(server.address());
});
