/** A directory as a process of its own. Arguments: ports as JSON, data folder. */
import { startDirectory, type DirectoryPorts } from '../fuzz/loopback-daemons.js';

const [, , ports = '{}', folder = ''] = process.argv;

await startDirectory(JSON.parse(ports) as DirectoryPorts, folder);
process.on('disconnect', () => process.exit(0));
process.send?.('listening');
