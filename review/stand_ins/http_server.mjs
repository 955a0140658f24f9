/** Helpers of the stand-ins' HTTP servers. */

/** Reads a request's body as JSON; an empty body is an empty object. */
export async function readJson(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString();
  return text === "" ? {} : JSON.parse(text);
}

export function reply(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
  response.end(text);
}
