#include "daemon/admin_page.hpp"

namespace arbutuscrank {

std::string_view adminPage() noexcept
{
    return R"html(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>arbutuscrank</title>
<style>
body { font: 15px sans-serif; margin: 2em auto; max-width: 60em; }
form { border: 1px solid #bbb; padding: .6em; margin: .6em 0; }
label { margin-right: .8em; } input { width: 9em; } pre { background: #eee; padding: .6em; white-space: pre-wrap; }
</style></head><body>
<h1>arbutuscrank</h1>
<p><label>Operators' key <input id="key" type="password" autocomplete="off"></label>
<button onclick="callAndReport('GET','/v1/status')">Configuration status by region</button>
<button onclick="callAndReport('GET','/v1/config')">Configuration</button>
<button onclick="callAndReport('GET','/v1/dump')">State dump of this daemon</button></p>
<form data-list="accounts"><b>Account</b><br>
<label>Name <input name="name" required></label><label>Rate (requests/s) <input name="ratePerSecond" type="number" min="0" step="any"></label>
<label>Burst (requests) <input name="burst" type="number" min="0" step="any"></label>
<label>Services <input name="services" data-kind="list"></label><label>Regions <input name="regions" data-kind="list"></label>
<button>Create or change</button></form>
<form data-list="keys"><b>Key of an account</b> (<code>arbutuscrank digest KEY</code> prints the digest)<br>
<label>Account <input name="account" required></label><label>Key id <input name="id" required></label>
<label>Digest <input name="digest" required></label><button>Create or change</button></form>
<form data-list="services"><b>Service</b><br>
<label>Name <input name="name" required></label><label>Path prefix <input name="pathPrefix"></label>
<label>Slots per target <input name="slotsPerTarget" type="number" min="1"></label>
<label>Connections per target <input name="connectionsPerTarget" type="number" min="1"></label><button>Create or change</button></form>
<form data-list="regions"><b>Region</b><br>
<label>Name <input name="name" required></label><label>Failure domains <input name="failureDomains" data-kind="list"></label>
<button>Create or change</button></form>
<form data-path="/v1/shifts"><b>Traffic shift</b><br>
<label>Name <input name="name" required></label><label>Service <input name="service"></label><label>From region <input name="from"></label>
<label>To region <input name="to"></label><label>Final share (%) <input name="percent" type="number" step="any"></label>
<label>Cap (requests/s) <input name="capPerSecond" type="number" step="any"></label><label>Step (%) <input name="stepPercent" type="number" step="any"></label>
<label>Step interval (s) <input name="stepSeconds" type="number" step="any"></label>
<button value="POST">Create or replace</button><button value="DELETE">Remove</button></form>
<form data-path="/v1/drains"><b>Drain</b><br>
<label>Kind <select name="kind"><option>target<option>vm<option>failureDomain<option>region<option>site</select></label>
<label>Name <input name="name" required></label><button value="POST">Drain</button><button value="DELETE">End drain</button></form>
<form data-withdraw><b>Withdraw an account or key</b><br>
<label>Account <input name="account" required></label><label>Key id (empty for the whole account) <input name="id"></label>
<button value="withdraw">Withdraw</button><button value="prove">Check that traffic has stopped</button></form>
<pre id="out">The answer of the daemon appears here.</pre>
<script>
const out = document.getElementById('out');
async function callApi(method, path, body, headers) {
  const answer = await fetch(path, { method, body, headers: { Authorization: 'Bearer ' + document.getElementById('key').value, ...headers } });
  const text = await answer.text();
  out.textContent = answer.status + ' ' + text;
  return { status: answer.status, text };
}
function callAndReport(method, path, body) { return callApi(method, path, body).catch(error => { out.textContent = error; }); }
function readFields(form) {
  const values = {};
  for (const input of form.querySelectorAll('input, select')) {
    if (input.value === '') continue;
    if (input.dataset.kind === 'list') values[input.name] = input.value.split(/[ ,]+/).filter(Boolean);
    else values[input.name] = input.type === 'number' ? Number(input.value) : input.value;
  }
  return values;
}
const defaults = { accounts: { keys: [], services: [], regions: [] }, regions: { failureDomains: [] },
  services: { openPathPrefixes: [], spill: [], targets: [] } };
function upsert(list, name, value, initial) {
  const found = list.find(it => it[name] === value[name]);
  if (found) Object.assign(found, value); else list.push({ ...initial, ...value });
}
async function changeDocument(kind, value) {
  const current = await callApi('GET', '/v1/config');
  if (current.status !== 200) return;
  const { version, document: config } = JSON.parse(current.text);
  if (kind === 'keys') {
    const account = config.accounts.find(it => it.name === value.account);
    if (!account) { out.textContent = 'account ' + value.account + ' does not exist'; return; }
    upsert(account.keys, 'id', { id: value.id, digest: value.digest }, {});
  } else {
    upsert(config[kind], 'name', value, defaults[kind]);
  }
  await callApi('PUT', '/v1/config', JSON.stringify(config), { 'If-Match': String(version) });
}
for (const form of document.forms) {
  form.addEventListener('submit', event => {
    event.preventDefault();
    const value = readFields(form), action = event.submitter.value;
    if (form.dataset.list) changeDocument(form.dataset.list, value).catch(error => { out.textContent = error; });
    else if (form.dataset.path) callAndReport(action, form.dataset.path, JSON.stringify(value));
    else if (action === 'prove') callAndReport('GET', '/v1/prove/' + encodeURIComponent(value.account));
    else callAndReport('POST', '/v1/accounts/' + encodeURIComponent(value.account) + (value.id ? '/keys/' + encodeURIComponent(value.id) : '') + '/withdraw');
  });
}
</script></body></html>
)html";
}

} // namespace arbutuscrank
