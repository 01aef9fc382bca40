import { HTTP_STATUS } from "../http/constants.js";
import { HttpStandIn } from "../http/httpStandIn.js";
import type { CallerLoad } from "./callerLoad.js";

/** Control server of a load: the probes, and the report of the load so far. */
export class LoadControl extends HttpStandIn {
  constructor(load: CallerLoad) {
    super();
    this.route("GET", "/control/report", (_request, response) => {
      this.sendJson(response, HTTP_STATUS.OK, load.report());
    });
  }
}
