/**
 * The parts of undici that the servers use. Its index loads fetch, web sockets, caches and mocks as well.
 */
module.exports = {
  Agent: require("../node_modules/undici/lib/dispatcher/agent.js"),
  Client: require("../node_modules/undici/lib/dispatcher/client.js"),
  Pool: require("../node_modules/undici/lib/dispatcher/pool.js"),
};
Object.assign(
  require("../node_modules/undici/lib/dispatcher/dispatcher.js").prototype,
  require("../node_modules/undici/lib/api/index.js"),
);
