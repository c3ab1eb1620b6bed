/** Which requests have the same fingerprint. */
import test from 'ava';
import { requestFingerprint, type IdentifiedRequest } from '../../src/quarantine/request-fingerprint.js';

const REQUEST: IdentifiedRequest = {
  method: 'POST',
  host: 'shop.example',
  path: '/orders/7?full=1',
  headers: ['Host', 'shop.example', 'Authorization', 'Bearer one', 'Aldertide-Request-Id', 'a'],
  key: 7,
  body: Buffer.from('{"count":1}'),
};

const SAME: Readonly<Record<string, Partial<IdentifiedRequest>>> = {
  'another request id': {
    headers: ['host', 'shop.example', 'authorization', 'Bearer one', 'aldertide-request-id', 'b'],
  },
  'received at the sidecar of another service': {
    headers: ['Host', 'shop.example', 'Authorization', 'Bearer one', 'Aldertide-Caller', 'ledger'],
  },
};

const DIFFERENT: Readonly<Record<string, Partial<IdentifiedRequest>>> = {
  'another method': { method: 'PUT' },
  'another path': { path: '/orders/8?full=1' },
  'another query': { path: '/orders/7?full=0' },
  'another key': { key: 8 },
  'no key': { key: null },
  'another body': { body: Buffer.from('{"count":2}') },
  'no body': { body: Buffer.alloc(0) },
  'another host': { host: 'other.example' },
  'another credential': { headers: ['Host', 'shop.example', 'Authorization', 'Bearer two'] },
  'bytes moved from the path to the body': {
    path: '/orders/7?full=',
    body: Buffer.from('1{"count":1}'),
  },
  'bytes moved from the method to the path': { method: 'POS', path: 'T/orders/7?full=1' },
};

for (const [name, change] of Object.entries(SAME)) {
  test(`the same: ${name}`, (t) => {
    t.is(requestFingerprint({ ...REQUEST, ...change }), requestFingerprint(REQUEST));
  });
}

for (const [name, change] of Object.entries(DIFFERENT)) {
  test(`different: ${name}`, (t) => {
    t.not(requestFingerprint({ ...REQUEST, ...change }), requestFingerprint(REQUEST));
  });
}
