/**
 * The program `fault-proxy`. `--address` sets the address of the control server, which the program
 * prints as one JSON line.
 *
 * @module
 */
import { readOptions } from "./arguments.ts";
import { FaultProxy } from "./fault_proxy.ts";

const options = readOptions(process.argv.slice(2));
const proxy = new FaultProxy();
const address = await proxy.listen(options.get("address") ?? "127.0.0.1:0");
process.once("SIGTERM", () => process.exit(0));
console.log(JSON.stringify({ ready: true, program: "fault-proxy", address }));
