import { expect, it } from 'vitest'
import { isIpv4Address } from '../src'

it.each(['127.0.0.1:1', '10.128.0.9:8080', '255.255.255.255:65535'])('accepts %s', (text) => {
  expect(isIpv4Address(text)).toBe(true)
})

it('accepts port 0 only to listen on', () => {
  expect(isIpv4Address('127.0.0.1:0')).toBe(false)
  expect(isIpv4Address('127.0.0.1:0', 0)).toBe(true)
  expect(isIpv4Address('127.0.0.1:00', 0)).toBe(false)
})

it.each([
  '',
  'somewhere',
  '127.0.0.1',
  '127.0.0.1:',
  ':80',
  '127.0.0.1:0',
  '127.0.0.1:65536',
  '127.0.0.1:99999',
  '127.0.0.1:080',
  '127.0.0.1:-1',
  '127.0.0.1:8e1',
  '127.0.0.1:80 ',
  '127.0.0.1:80\n',
  '300.1.1.1:80',
  '1.2.3:80',
  '[::1]:80',
  'localhost:80',
])('refuses %j', (text) => {
  expect(isIpv4Address(text)).toBe(false)
})
