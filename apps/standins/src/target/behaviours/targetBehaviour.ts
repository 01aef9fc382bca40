import type { ServerResponse } from "node:http";
import { HTTP_STATUS } from "../../http/constants.js";
import { answerBody } from "../answerBody.js";
import { WORK_HEADER } from "../constants.js";
import type { TargetBehaviourName, RequestedWork } from "../types.js";

/** Behaviour of a target towards the requests that it runs. */
export abstract class TargetBehaviour {
  abstract readonly name: TargetBehaviourName;

  /**
   * Returns the delay before `answer` is called.
   *
   * @param workMs - Work time that the request asks for.
   * @returns The delay in ms; null if `answer` is never called.
   */
  delayMs(workMs: number): number | null {
    return workMs;
  }

  /**
   * Answers a request, or simulates a failure to answer it.
   *
   * @param response - The response, of which nothing has been sent.
   * @param work - The work that the request asked for.
   */
  abstract answer(response: ServerResponse, work: RequestedWork): void;

  /** Sends the full answer. */
  protected sendFullAnswer(
    response: ServerResponse,
    work: RequestedWork,
    statusCode: number = HTTP_STATUS.OK,
  ): void {
    this.writeHead(response, work, statusCode);
    response.end(answerBody(work.tag, work.answerBytes));
  }

  /** Sends the headers and half of the body, then calls `cut` to end the connection. */
  protected sendHalfAnswer(response: ServerResponse, work: RequestedWork, cut: () => void): void {
    this.writeHead(response, work, HTTP_STATUS.OK);
    const half = answerBody(work.tag, work.answerBytes).slice(0, work.answerBytes >> 1);
    response.write(half, cut);
  }

  private writeHead(response: ServerResponse, work: RequestedWork, statusCode: number): void {
    response.writeHead(statusCode, {
      "content-type": "text/plain",
      "content-length": work.answerBytes,
      [WORK_HEADER.TAG]: work.tag,
    });
  }
}
