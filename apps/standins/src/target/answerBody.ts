/**
 * The body that the answer to a request must have, all of it made of the request's own tag.
 *
 * @param tag - Tag of the request.
 * @param lengthBytes - Length of the body.
 * @returns The body; tags are ASCII.
 */
export const answerBody = (tag: string, lengthBytes: number): string => {
  const unit = `${tag};`;
  return unit.repeat(Math.ceil(lengthBytes / unit.length)).slice(0, lengthBytes);
};
