/**
 * The program `stand-in-backend-server` with the options `--address`, `--name`, `--slots`,
 * `--mean-run-ms`, `--seed` and `--linger-ms`. It prints one JSON line with its address once it
 * listens, and SIGTERM stops it gracefully.
 *
 * @module
 */
import { names } from "@jackdawlink/schema";
import { readOptions } from "./arguments.ts";
import { BackendServer } from "./backend_server.ts";

const options = readOptions(process.argv.slice(2));
const name = options.get("name") ?? "backend-server";
const backendServer = new BackendServer({
  name,
  slots: Number(options.get("slots") ?? 8),
  meanRunMs: Number(options.get("mean-run-ms") ?? 0),
  seed: Number(options.get("seed") ?? 1),
});
const lingerMs = Number(options.get("linger-ms") ?? 0);
const address = await backendServer.listen(
  names.splitAddress(options.get("address") ?? "127.0.0.1:0"),
);
process.once("SIGTERM", () => void backendServer.stop({ lingerMs }).then(() => process.exit(0)));
console.log(JSON.stringify({ ready: true, program: "stand-in-backend-server", name, address }));
