/** A control replica, the only member of its cluster, as a process of its own. Arguments: its ports as JSON, its folder, the token. */
import { startControl } from '../../src/cli/control-daemon.js';
import { controlSettingsSchema } from '../../src/config/daemon-settings.js';
import { HOST } from '../fuzz/loopback-daemons.js';

const [, , ports = '{}', dataFolder = '', token = ''] = process.argv;
const { listen, operator } = JSON.parse(ports) as { listen: number; operator: number };

const silent = (): void => undefined;
const address = { host: HOST, port: listen };
const settings = controlSettingsSchema.parse({
  name: 'control',
  zone: 'zone',
  tokenFile: 'none',
  dataFolder,
  listen: address,
  operator: { host: HOST, port: operator },
  members: [{ name: 'control', address }],
});
(await startControl(settings, token, { info: silent, warn: silent, error: silent }, silent)).unwrap();
process.on('disconnect', () => process.exit(0));
process.send?.('listening');
