/**
 * Returns the body of the answer to a request: the tag of the request, repeated, so that a caller
 * detects an answer that is incomplete or belongs to another request.
 *
 * @param tag - Tag of the request, in ASCII.
 * @param lengthBytes - Length of the body.
 */
export const answerBody = (tag: string, lengthBytes: number): string => {
  const unit = `${tag};`;
  return unit.repeat(Math.ceil(lengthBytes / unit.length)).slice(0, lengthBytes);
};
