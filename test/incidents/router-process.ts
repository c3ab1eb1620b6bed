/** A router as a process of its own. Arguments: its port, the port of control, the token that they share. */
import { routerSettingsSchema } from '../../src/config/daemon-settings.js';
import { RouterNode } from '../../src/router/router-node.js';
import { HOST } from '../fuzz/loopback-daemons.js';

/** Time in ms after which a stalled caller is cut off; the default would make the test long. */
const CALLER_STALL_MS = 2_000;

const [, , port = '0', controlPort = '0', token = ''] = process.argv;

const silent = (): void => undefined;
const settings = routerSettingsSchema.parse({
  name: 'router',
  zone: 'zone',
  tokenFile: 'none',
  listen: { host: HOST, port: Number(port) },
  callerStallMs: CALLER_STALL_MS,
  control: [{ name: 'control', address: { host: HOST, port: Number(controlPort) } }],
});
(await RouterNode.start(settings, token, { info: silent, warn: silent, error: silent })).unwrap();
process.on('disconnect', () => process.exit(0));
process.send?.('listening');
